"""Finds a piece of prompts that crashes each target which begins an answer on it.

Load: requests that share one piece crash targets one after the other, and no two of
them are alike. Requests that are sound share their other pieces, and wait at the same
targets when these crash.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

MIN_CRASHES = 3
"""Crashes with a piece, none of them explained by another piece, that prove it."""

SUSPECT_CRASHES = 2
"""Crashes from which on nodes report completed answers on a piece."""

CONFIRM_S = 0.3
"""Time for these reports, from the time that a piece is a suspect."""

JOINT_FAILURE_S = 0.1
"""Targets that crash within this time of each other count as one crash, such as that of
a rack: a single request crashes one target."""

MEMORY_S = 60.0
"""Time after which a crash is forgotten."""


@dataclass(frozen=True)
class Crash:
    """Targets that crashed together."""

    number: int
    time_s: float


@dataclass
class Suspicion:
    """The crashes during which a piece waited for its answer at the target."""

    position: int
    """Position in the prompt; a later piece is shared by fewer requests."""
    crashes: set[Crash] = field(default_factory=set)
    suspect_since_s: float = float("inf")

    @property
    def due_s(self) -> float:
        """Time from which on the piece is proven; infinite with too few crashes."""
        if len(self.crashes) < MIN_CRASHES:
            return float("inf")
        return self.suspect_since_s + CONFIRM_S


class CrashAttribution:
    """Attributes crashes of targets to pieces of prompts."""

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}
        self.crashes_by_target: dict[str, Crash] = {}
        """Crash by the target's incarnation, in the sequence of the reports."""
        self.crash_count = 0
        self.explained: set[Crash] = set()
        """Crashes whose cause is known."""

    def record_crash(
        self,
        incarnation: str,
        pieces: Sequence[str],
        now_s: float,
        age_s: float = 0.0,
    ) -> None:
        """Record the pieces of a request that was unanswered when its target crashed.

        Args:
            incarnation: The target, and when it was started.
            pieces: The prompt's shared pieces in sequence that may be the cause.
            now_s: Monotonic time.
            age_s: Time since the crash was found; completed answers on its pieces are
                awaited from now on.
        """
        crash = self.find_crash(incarnation, now_s - age_s)
        if crash in self.explained:
            return
        for position, piece in enumerate(pieces):
            suspicion = self.suspicions.setdefault(piece, Suspicion(position))
            suspicion.position = max(suspicion.position, position)
            suspicion.crashes.add(crash)
            if len(suspicion.crashes) >= SUSPECT_CRASHES:
                suspicion.suspect_since_s = min(suspicion.suspect_since_s, now_s)

    def find_crash(self, incarnation: str, crashed_s: float) -> Crash:
        """Return the crash in which a target's incarnation ended."""
        crash = self.crashes_by_target.get(incarnation)
        if crash is not None:
            return crash
        for crash in reversed(self.crashes_by_target.values()):
            if abs(crashed_s - crash.time_s) <= JOINT_FAILURE_S:
                break
        else:
            self.crash_count += 1
            crash = Crash(self.crash_count, crashed_s)
        self.crashes_by_target[incarnation] = crash
        return crash

    def record_explained(self, incarnation: str, crashed_s: float) -> None:
        """Record a crash whose cause is known, so that no other piece is suspected."""
        self.explain({self.find_crash(incarnation, crashed_s)})

    def record_completed(self, pieces: Iterable[str]) -> None:
        """Clear pieces on which a target has completed an answer."""
        for piece in pieces:
            self.suspicions.pop(piece, None)

    def list_suspects(self) -> list[str]:
        """Return the pieces of which a completed answer has to be reported.

        Pieces with more crashes come first.
        """
        suspects = [
            (-len(suspicion.crashes), piece)
            for piece, suspicion in self.suspicions.items()
            if len(suspicion.crashes) >= SUSPECT_CRASHES
        ]
        return [piece for _, piece in sorted(suspects)]

    def pop_proven(self, now_s: float) -> str | None:
        """Return a piece that is proven to crash targets, once; None without one.

        Its crashes are explained then, and no longer count against other pieces.
        """
        self.forget_old_crashes(now_s)
        candidates = [
            (len(suspicion.crashes), suspicion.position, piece)
            for piece, suspicion in self.suspicions.items()
            if suspicion.due_s <= now_s
        ]
        if not candidates:
            return None
        proven = max(candidates)[2]
        self.explain(set(self.suspicions.pop(proven).crashes))
        return proven

    def explain(self, crashes: set[Crash]) -> None:
        """Note that the cause of crashes is known."""
        self.explained |= crashes
        self.drop_crashes(crashes)

    def forget_old_crashes(self, now_s: float) -> None:
        """Drop crashes that are too old to belong to newer ones."""
        old_crashes = {
            crash
            for crash in self.crashes_by_target.values()
            if now_s - crash.time_s > MEMORY_S
        }
        if not old_crashes:
            return
        self.drop_crashes(old_crashes)
        self.explained -= old_crashes
        self.crashes_by_target = {
            incarnation: crash
            for incarnation, crash in self.crashes_by_target.items()
            if crash not in old_crashes
        }

    def drop_crashes(self, crashes: set[Crash]) -> None:
        """Remove crashes from all suspicions."""
        for piece, suspicion in list(self.suspicions.items()):
            suspicion.crashes -= crashes
            if not suspicion.crashes:
                del self.suspicions[piece]
            elif len(suspicion.crashes) < SUSPECT_CRASHES:
                suspicion.suspect_since_s = float("inf")
