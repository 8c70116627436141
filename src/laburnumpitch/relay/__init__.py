"""The run of requests that are relayed to targets unchanged."""
