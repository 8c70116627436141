"""Limits retries in proportion to successes, to prevent retry storms."""

from __future__ import annotations

RETRIES_PER_SUCCESS = 0.2
"""Retries that one success adds to the budget."""

MAX_SAVED_RETRIES = 20.0
"""Upper bound of the budget, and its initial value."""


class RetryBudget:
    """The retries that a node may still send to one pool."""

    def __init__(self) -> None:
        self.available = MAX_SAVED_RETRIES

    def record_success(self) -> None:
        """Add the share of a retry that one success earns."""
        self.available = min(MAX_SAVED_RETRIES, self.available + RETRIES_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Spend one retry, and return whether the budget allowed it."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True
