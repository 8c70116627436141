"""Nodes that find each other, agree on state, and tell each other of targets."""
