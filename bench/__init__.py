"""Benchmarks of the policies, and measurements of the slopes in docs/CAPACITY.md."""
