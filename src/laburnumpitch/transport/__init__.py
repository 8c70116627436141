"""HTTP client and server, and RPC over ZeroMQ between the system's processes."""
