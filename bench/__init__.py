"""Benchmarks of the policies, and measurements of the slopes behind docs/CAPACITY.md."""
