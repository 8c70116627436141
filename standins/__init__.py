"""Stand-ins for the systems around laburnumpitch, for tests, demo and benchmarks."""
