"""Cluster of serving nodes: bootstrap, replicated state and the state of targets."""
