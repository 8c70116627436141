"""Soak test of a fleet of real node processes under injected faults."""
