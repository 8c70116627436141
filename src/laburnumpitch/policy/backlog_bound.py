"""Bounds the prefill backlog that a request may find at its target.

An engine prefills in turn. Where long prompts with a wide latency objective fill
engines up to that objective, short and more urgent ones come too late everywhere. All
requests of a service therefore keep to the narrowest objective of the service's kinds
of request, and leave room for those that are more urgent.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_OBJECTIVES = 0.5
"""Largest backlog, in latency objectives; the rest of an objective covers the network
and deviations from the mean."""

LESS_URGENT_FACTOR = 0.5
"""What is left of that for a request if the service has more urgent kinds."""

LATE_FACTOR = 0.3
"""What is left of that for a request that is already late: it gets the capacity that
others leave."""


@dataclass(frozen=True)
class RequestKind:
    """The properties of a kind of request that its bound follows from."""

    priority_class: int
    """0 is the most urgent."""
    objective_s: float


def get_max_backlog_s(
    kind: RequestKind, service_kinds: Iterable[RequestKind], is_late: bool
) -> float:
    """Return the largest backlog at which a target takes a request.

    Args:
        kind: The kind of the request.
        service_kinds: All kinds that the service prefills.
        is_late: Whether the request cannot meet its objective any more.
    """
    kinds = [kind, *service_kinds]
    bound_s = MAX_OBJECTIVES * min(other.objective_s for other in kinds)
    if any(other.priority_class < kind.priority_class for other in kinds):
        bound_s *= LESS_URGENT_FACTOR
    return bound_s * LATE_FACTOR if is_late else bound_s
