"""Leases of nodes, their configuration, and the view of nodes and targets."""
