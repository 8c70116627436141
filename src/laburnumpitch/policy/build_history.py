"""Decides which builds of a service are on record, and on which streams may begin.

What two builds write does not fit together, so a stream goes on only at the build that
began it. If nobody remembers which one that was, a single build on record is the
answer, provided that no other one can have begun a stream. So a build is put on record
before any stream may begin on it, until every node that may rely on the record knows
it, and stays there long after its last target has left.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

MAX_RECORD_AGE_S = 0.9
"""Time since its last contact with the leader for which a node relies on the record; in
`MIN_HOLD_S + CONTACT_MARGIN_S`, the leader ceases to wait for a node."""

MIN_TERM_AGE_S = 1.0
"""Time after its election in which a leader lets no stream begin on a further build:
nodes may still rely on what its predecessor told them. It is also the time after which
no node relies on facts that were published before a build was on record."""

RETIREMENT_S = 600.0
"""Time without a target after which a build is forgotten; far longer than a stream and
its client's attempts to take it up."""

MAX_BUILDS = 16
"""Maximum number of builds of a service on record. A further one begins no resumable
stream until an old one is forgotten."""

Builds = Mapping[str, bool]
"""Builds on record, and whether streams may begin on each of them."""


class BuildHistory:
    """Follows the builds of one service during one leader's term."""

    def __init__(self) -> None:
        self.last_present_s: dict[str, float] = {}
        """When a build last had a target, or was first seen on record."""

    def update(
        self, on_record: Builds, present: Set[str], known: Set[str], now_s: float
    ) -> Builds:
        """Return the builds that should be on record.

        Args:
            on_record: The builds that are committed.
            present: Builds of the targets that are not gone.
            known: Committed builds of which every node knows that relies on the record.
            now_s: Monotonic time.
        """
        builds = {
            build: is_active or build in known
            for build, is_active in on_record.items()
            if not self.may_retire(build, present, now_s)
        }
        for build in sorted(present - set(on_record)):
            if len(builds) < MAX_BUILDS:
                builds[build] = False
        return builds

    def may_retire(self, build: str, present: Set[str], now_s: float) -> bool:
        """Whether a build has had no target for so long that it may be forgotten."""
        if build in present:
            self.last_present_s[build] = now_s
            return False
        if now_s - self.last_present_s.setdefault(build, now_s) < RETIREMENT_S:
            return False
        del self.last_present_s[build]
        return True


def infer_build(on_record: Builds, record_age_s: float) -> str | None:
    """Return the build that must have begun a stream of which nothing else is known.

    Args:
        on_record: The service's builds on record, as a node knows them.
        record_age_s: Time since the node's last contact with the leader.

    Returns:
        The build, or None if several may have begun the stream.
    """
    if len(on_record) != 1 or record_age_s >= MAX_RECORD_AGE_S:
        return None
    return next(iter(on_record))
