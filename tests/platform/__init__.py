"""Tests of laburnumpitch.platform."""
