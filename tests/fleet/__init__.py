"""Tests of laburnumpitch.fleet."""
