"""Decides which change of an evacuation is in force, and which targets are left.

The load: 526 requests/s on 45 engines in two data centres, one of which is evacuated
with 18 of them, withdrawn and evacuated again within seconds. Operators and their
clients send calls twice, and nodes that were frozen pass calls on late. A call that was
read before a newer change must not undo it, and no request may go to an evacuated
target while its retries, queued and reserved ones come up.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

MAX_NAMES = 256
"""Largest number of data centres with a revision, besides those that the fleet knows.
The revisions go to every node; names that nobody knows must not fill them."""


@dataclass(frozen=True)
class Evacuations:
    """The evacuated data centres, and the number of changes of each one."""

    evacuated: frozenset[str] = frozenset()
    revisions: Mapping[str, int] = field(default_factory=dict)

    def get_revision(self, data_centre: str) -> int:
        """Return the revision of a data centre; 0 if it was never changed."""
        return self.revisions.get(data_centre, 0)

    def apply(
        self, data_centre: str, is_evacuated: bool, base_revision: int
    ) -> Evacuations:
        """Return the state after a change; the same one if the change is out of date.

        Each change on the newest revision makes a new one, also if it orders what is in
        force already. Otherwise a withdrawal that was read before a repeated order
        could still undo that order.

        Args:
            data_centre: The data centre.
            is_evacuated: Whether it is evacuated from now on.
            base_revision: Revision at which the change was ordered.
        """
        if base_revision != self.get_revision(data_centre):
            return self
        evacuated = self.evacuated - {data_centre}
        if is_evacuated:
            evacuated |= {data_centre}
        revisions = {**self.revisions, data_centre: base_revision + 1}
        return Evacuations(evacuated, revisions)

    def merge(self, other: Evacuations) -> Evacuations:
        """Return the newer state of each data centre, of two that nodes have."""
        newer = {
            name
            for name, revision in other.revisions.items()
            if revision > self.get_revision(name)
        }
        return Evacuations(
            (self.evacuated - newer) | (other.evacuated & newer),
            {**self.revisions, **{name: other.revisions[name] for name in newer}},
        )

    def is_as_ordered(self, data_centre: str, is_evacuated: bool) -> bool:
        """Whether a data centre is in the state that an operator ordered."""
        return (data_centre in self.evacuated) == is_evacuated


def find_usable(data_centres: Sequence[str], evacuated: frozenset[str]) -> list[int]:
    """Return which targets may get requests, by their index.

    Args:
        data_centres: Data centre of each target.
        evacuated: Evacuated data centres.
    """
    return [i for i, name in enumerate(data_centres) if name not in evacuated]
