"""Decides when the organisations that share kept context start anew.

Nobody records which organisation made a piece of shared context. An organisation that
becomes isolated may have made any of it, so nobody may read it from then on. A new
epoch gives the shared context new names; that of isolated organisations keeps its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_SHARERS = 100_000
"""Number of organisations, removed ones included, that are remembered in one epoch; a
few MB. A new epoch begins beyond it."""


@dataclass(frozen=True)
class ContextSharing:
    """Who may have made the kept context that organisations share now."""

    epoch: int = 0
    """Version of the configuration with which the shared context began; 0 at first."""
    sharers: frozenset[str] | None = frozenset()
    """Organisations that have shared context since then, also those that have been
    removed; None if not known."""

    def apply(
        self, version: int, sharing: Iterable[str], isolated: Iterable[str]
    ) -> ContextSharing:
        """Return the state under a new configuration.

        Args:
            version: Version of the configuration.
            sharing: Organisations that share context under it.
            isolated: Organisations that share none.
        """
        if self.sharers is None:
            # Any organisation may have shared context before.
            return self.start(version, sharing) if any(isolated) else self
        sharers = self.sharers.union(sharing)
        if not self.sharers.isdisjoint(isolated) or len(sharers) > MAX_SHARERS:
            return self.start(version, sharing)
        return ContextSharing(self.epoch, sharers)

    def forget(self) -> ContextSharing:
        """Return the state after a configuration whose organisations are not known."""
        return ContextSharing(self.epoch, None)

    @staticmethod
    def start(version: int, sharing: Iterable[str]) -> ContextSharing:
        """Return the state at the beginning of an epoch."""
        return ContextSharing(version, frozenset(sharing))
