"""Decides which targets of a service may get new requests while some are leaving."""

from __future__ import annotations

from collections.abc import Sequence

DRAIN_S = 2.0
"""Default time after a target has said that it is leaving in which it still serves, and
after which no new request may reach it."""

LAST_RESORT_SHARE = 0.75
"""Share of that time in which a leaving target is used while no other one is left; a
request takes time to reach it."""


def find_usable(
    leaving_ages_s: Sequence[float | None], drain_s: float = DRAIN_S
) -> list[int]:
    """Return which targets of a service may get new requests, by their index.

    Args:
        leaving_ages_s: Time since each target first said that it is leaving; None if it
            has not.
        drain_s: Time for which a leaving target still serves.
    """
    last_resort_s = drain_s * LAST_RESORT_SHARE
    staying = [i for i, age_s in enumerate(leaving_ages_s) if age_s is None]
    if staying:
        return staying
    return [i for i, age_s in enumerate(leaving_ages_s) if age_s < last_resort_s]
