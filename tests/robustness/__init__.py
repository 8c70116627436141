"""Tests of one process under clients and targets outside the limits."""
