"""Runs real processes of the system and its stand-ins, and injects faults."""
