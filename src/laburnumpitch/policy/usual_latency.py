"""How long targets usually take, by kind of request, from recent answers.

A quantile over all targets moves with a single slow one once its answers are a larger
share than the quantile leaves out, and would then call slow what it should find. What
a target is compared with are therefore the answers of the other targets.

The window of each kind is bounded in size and age, so that it follows when everything
turns slow, and costs a node of 128 MB at most some 1 MB.
"""

from __future__ import annotations

import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass

QUANTILE_CUTS = 10
"""Number of parts into which the cut points of the durations divide them."""

QUANTILE_INDEX = 8
"""Cut point that counts as the longest usual duration: nine in ten are shorter."""

MAX_SAMPLES = 128
"""Answers remembered of each kind."""

MIN_SAMPLES = 20
"""Fewest answers of other targets from which a quantile is taken."""

MAX_AGE_S = 120.0
"""Age above which an answer no longer counts."""

MAX_KINDS = 64
"""Kinds that are remembered; those without an answer for longest are dropped."""

PLAIN_CLASS_BYTES = 1024
"""Size of a body that counts as one unit in its size class."""


@dataclass(frozen=True)
class RequestKind:
    """Requests that are expected to take about the same time."""

    service: str
    """A route may have several services, one of which is slower."""
    route: str
    size_class: int


@dataclass(frozen=True)
class UsualDuration:
    """What other targets took for a kind of request."""

    median_s: float
    quantile_s: float
    samples: int
    newest_age_s: float
    """Age of the newest answer."""


def get_size_class(size: int) -> int:
    """Return the class of a size; each class is four times as wide as the one before.

    Args:
        size: Prompt tokens, or units of `PLAIN_CLASS_BYTES` of a plain request's body.
    """
    return (max(0, size).bit_length() + 1) // 2


@dataclass(frozen=True, slots=True)
class Sample:
    """An answer of a target."""

    target_id: str
    duration_s: float
    at_s: float


class UsualLatency:
    """The recent answers to one node's requests, by kind."""

    def __init__(self) -> None:
        self.samples: OrderedDict[RequestKind, deque[Sample]] = OrderedDict()

    def record(
        self, kind: RequestKind, target_id: str, duration_s: float, now_s: float
    ) -> None:
        """Record the time that a target took.

        Args:
            kind: The kind of the request.
            target_id: The target.
            duration_s: Time to the answer or the first event, or the time after which
                the target was given up: without it, all long times would be missing.
            now_s: Monotonic time.
        """
        found = self.samples.setdefault(kind, deque(maxlen=MAX_SAMPLES))
        self.samples.move_to_end(kind)
        found.append(Sample(target_id, duration_s, now_s))
        while len(self.samples) > MAX_KINDS:
            self.samples.popitem(last=False)

    def list_others(
        self, kind: RequestKind, target_id: str, since_s: float
    ) -> list[Sample]:
        """Return the answers of other targets since a time, oldest first."""
        return [
            sample
            for sample in self.samples.get(kind, ())
            if sample.target_id != target_id and sample.at_s >= since_s
        ]

    def find(
        self, kind: RequestKind, target_id: str, now_s: float
    ) -> UsualDuration | None:
        """Return what targets other than this one took, or None if too few answered."""
        samples = self.list_others(kind, target_id, now_s - MAX_AGE_S)
        if len(samples) < MIN_SAMPLES:
            return None
        durations = [sample.duration_s for sample in samples]
        cuts = statistics.quantiles(durations, n=QUANTILE_CUTS)
        return UsualDuration(
            statistics.median(durations),
            cuts[QUANTILE_INDEX],
            len(samples),
            now_s - samples[-1].at_s,
        )
