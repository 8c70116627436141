"""Protocols and HTTP clients for engines and stores."""
