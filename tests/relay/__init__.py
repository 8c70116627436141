"""Tests of laburnumpitch.relay."""
