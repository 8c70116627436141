"""Decoders of everything that comes from outside, with arbitrary input."""
