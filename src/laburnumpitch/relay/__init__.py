"""Relays clients' requests to targets without changing their bodies."""
