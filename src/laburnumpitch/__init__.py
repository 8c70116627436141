"""Serving system for prompts that reuse a long context after gaps of hours."""

from __future__ import annotations

__version__ = "0.1.0"
