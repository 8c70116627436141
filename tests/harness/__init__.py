"""Tests of the harness itself."""
