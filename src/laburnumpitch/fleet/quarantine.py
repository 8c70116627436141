"""The leader's record of requests, and of pieces of prompts, that crash targets."""

from __future__ import annotations

from ..logging import get_logger
from ..policy.crash_attribution import MEMORY_S, CrashAttribution
from .crash_messages import TargetDied
from .messages import FleetFacts

MAX_TARGET_DEATHS = 3
"""Number of targets that died while they ran the same request, from which on the
request is quarantined, that is refused on all nodes."""

SUSPECT_DEATHS = 2
"""Number of such targets from which on nodes report an answer to the request."""

MAX_QUARANTINED = 200
"""Maximum number of quarantined requests, and of quarantined pieces; the oldest ones
are dropped."""

MAX_SUSPECTS = 5000
"""Maximum number of requests whose target deaths are counted; the oldest ones are
dropped."""

MAX_SUSPECT_PIECES = 200
"""Maximum number of suspect pieces, and of suspect requests, that are published."""

QUARANTINE_S = 600.0
"""Time for which a request that crashed targets is refused, as are those with a piece
that did."""


class Quarantine:
    """Counts targets' deaths, and lists what all nodes have to refuse.

    Args:
        facts: The fleet's facts as a former leader published them; None without any.
        now_s: Monotonic time.
    """

    def __init__(self, facts: FleetFacts | None, now_s: float) -> None:
        known_deaths = facts.suspect_deaths if facts else {}
        self.deaths = {key: set(targets) for key, targets in known_deaths.items()}
        """Targets' incarnations that died while they ran a request, by the request's
        fingerprint."""
        self.fingerprints: dict[str, float] = dict.fromkeys(
            facts.quarantined if facts else (), now_s
        )
        """Time since when each quarantined request is refused, by its fingerprint,
        oldest first."""
        self.pieces: dict[str, float] = dict.fromkeys(
            facts.quarantined_pieces if facts else (), now_s
        )
        """Time since when each quarantined piece is refused, oldest first."""
        self.attribution = CrashAttribution()
        self.log = get_logger()

    def record_death(
        self, notice: TargetDied, now_s: float, age_s: float = 0.0
    ) -> None:
        """Record a target that died while it had a request.

        A target's incarnation counts once for each request.

        Args:
            notice: The report.
            now_s: Monotonic time.
            age_s: Time since the death was found.
        """
        incarnation = f"{notice.target_id}/{notice.born_ms}"
        if notice.fingerprint:
            self.count_death(notice.fingerprint, incarnation, now_s)
        if age_s > MEMORY_S:
            return
        if any(piece in self.pieces for piece in notice.pieces):
            self.attribution.record_explained(incarnation, now_s - age_s)
        else:
            self.attribution.record_crash(incarnation, notice.pieces, now_s, age_s)

    def count_death(self, fingerprint: str, incarnation: str, now_s: float) -> None:
        """Count a death for a request, and quarantine the request if it is due."""
        while len(self.deaths) > MAX_SUSPECTS:
            del self.deaths[next(iter(self.deaths))]
        dead_targets = self.deaths.setdefault(fingerprint, set())
        dead_targets.add(incarnation)
        if len(dead_targets) < MAX_TARGET_DEATHS or fingerprint in self.fingerprints:
            return
        self.log.warning("request_quarantined", fingerprint=fingerprint)
        self.fingerprints[fingerprint] = now_s
        while len(self.fingerprints) > MAX_QUARANTINED:
            del self.fingerprints[next(iter(self.fingerprints))]

    def record_answered(self, fingerprint: str) -> None:
        """Clear a request that a target has answered.

        The targets that died while they ran it had other reasons.
        """
        if self.deaths.pop(fingerprint, None) is not None:
            self.log.info("request_cleared", fingerprint=fingerprint)

    def record_completed(self, pieces: list[str]) -> None:
        """Clear pieces on which a target has completed an answer."""
        self.attribution.record_completed(pieces)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is refused or suspected that a later time may change."""
        return not (self.attribution.suspicions or self.pieces or self.fingerprints)

    def update(self, now_s: float) -> None:
        """Quarantine pieces that are proven to crash targets, and release old ones."""
        for fingerprint, since_s in list(self.fingerprints.items()):
            if now_s - since_s > QUARANTINE_S:
                # Its deaths still count, so one more is enough.
                self.log.info("request_released", fingerprint=fingerprint)
                del self.fingerprints[fingerprint]
        for piece, since_s in list(self.pieces.items()):
            if now_s - since_s > QUARANTINE_S:
                self.log.info("piece_released", piece=piece)
                del self.pieces[piece]
        while (piece := self.attribution.pop_proven(now_s)) is not None:
            self.log.warning("piece_quarantined", piece=piece)
            self.pieces[piece] = now_s
        while len(self.pieces) > MAX_QUARANTINED:
            del self.pieces[next(iter(self.pieces))]

    def list_suspect_requests(self) -> list[str]:
        """Return the fingerprints of which nodes have to report an answer."""
        suspects = [
            fingerprint
            for fingerprint, dead_targets in self.deaths.items()
            if len(dead_targets) >= SUSPECT_DEATHS
            and fingerprint not in self.fingerprints
        ]
        return suspects[-MAX_SUSPECT_PIECES:]

    def list_suspect_deaths(self) -> dict[str, list[str]]:
        """Return the deaths of suspect and quarantined requests, which a new leader
        goes on to count; single deaths are reported to it once more."""
        suspects = {
            fingerprint: sorted(dead_targets)
            for fingerprint, dead_targets in self.deaths.items()
            if len(dead_targets) >= SUSPECT_DEATHS
        }
        return dict(list(suspects.items())[-MAX_QUARANTINED:])

    def list_suspect_pieces(self) -> list[str]:
        """Return the pieces of which nodes have to report a completed answer.

        Only the ones with the most crashes are listed if there are many.
        """
        return self.attribution.list_suspects()[:MAX_SUSPECT_PIECES]
