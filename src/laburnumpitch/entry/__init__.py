"""The entry role: the HTTP interface for callers, and the runs of their requests."""
