"""Kept context: names of pieces, the directory of their locations, and the stores."""
