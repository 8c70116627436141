"""Bounds retries in proportion to successes, so that they cannot feed a fault."""

from __future__ import annotations

RETRIES_PER_SUCCESS = 0.2
"""Retries that one success allows."""

MAX_SAVED_RETRIES = 20.0
"""Most retries that can be saved up."""


class RetryBudget:
    """Retries that a node may still make towards one pool."""

    def __init__(self) -> None:
        self.available = MAX_SAVED_RETRIES

    def record_success(self) -> None:
        """Earn a part of a retry."""
        self.available = min(MAX_SAVED_RETRIES, self.available + RETRIES_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Spend a retry, and return whether there was one."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True
