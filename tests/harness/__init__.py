"""Tests of the test harness."""
