"""A node's memory of the deaths of targets that it reported to the leader.

A leader counts deaths in memory alone, so they are reported to each new one again.
"""

from __future__ import annotations

from collections.abc import Collection, Set

from msgspec.structs import replace

from ..fleet.crash_messages import PastDeath, TargetDied

MAX_DEATHS = 200
"""Maximum number of remembered deaths; the oldest ones are dropped."""

KEEP_S = 600.0
"""Time for which a death is remembered, as long as a crashing request is refused."""

DeathKey = tuple[str, str, int, tuple[str, ...]]
"""Request, target and its incarnation, and the pieces that were reported."""


class ReportedDeaths:
    """The deaths, and what the leader suspects of having caused them."""

    def __init__(self) -> None:
        self.deaths: dict[DeathKey, TargetDied] = {}
        """Reports, oldest first."""
        self.found_s: dict[DeathKey, float] = {}
        """Time at which each death was found."""
        self.suspect_requests: Set[str] = frozenset()
        self.suspect_pieces: Set[str] = frozenset()

    def record(self, notice: TargetDied, now_s: float) -> None:
        """Remember a death."""
        key = (
            notice.fingerprint,
            notice.target_id,
            notice.born_ms,
            tuple(notice.pieces),
        )
        self.deaths[key] = notice
        self.found_s.setdefault(key, now_s)
        while len(self.deaths) > MAX_DEATHS:
            self.forget(next(iter(self.deaths)))

    def forget(self, key: DeathKey) -> None:
        """Forget a death."""
        del self.deaths[key], self.found_s[key]

    def clear(self, fingerprints: Collection[str], pieces: Collection[str]) -> None:
        """Clear requests, and pieces, on which a target has completed an answer."""
        for key, notice in list(self.deaths.items()):
            if notice.fingerprint in fingerprints:
                self.forget(key)
            elif any(piece in pieces for piece in notice.pieces):
                left = [piece for piece in notice.pieces if piece not in pieces]
                self.deaths[key] = replace(notice, pieces=left)

    def set_suspects(self, requests: Set[str], pieces: Set[str]) -> None:
        """Store what the leader suspects at the start of its term."""
        self.suspect_requests, self.suspect_pieces = requests, pieces

    def update_suspects(
        self,
        requests: Set[str],
        pieces: Set[str],
        quarantined_requests: Set[str],
        quarantined_pieces: Set[str],
    ) -> None:
        """Clear what the leader suspected before and does not any more."""
        self.clear(
            self.suspect_requests - requests - quarantined_requests,
            self.suspect_pieces - pieces - quarantined_pieces,
        )
        self.set_suspects(requests, pieces)

    def list_deaths(self, now_s: float) -> list[PastDeath]:
        """Return the deaths that a new leader has to count."""
        return [
            PastDeath(notice, now_s - self.found_s[key])
            for key, notice in self.deaths.items()
            if now_s - self.found_s[key] <= KEEP_S
        ]
