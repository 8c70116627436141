"""Decides who may send how many requests to a cold engine.

An engine that has just started crashes at a rate far below that of a warm one. It is
also the least loaded target, so that a data centre of engines that returns at the peak
would get the next hundreds of requests of all nodes at once. Nodes do not know each
other's sends, and two coordinators may answer at the same time. The limit holds for the
sum over all of them because each has a share of its own: the coordinator grants sends
that expire soon, and two nodes chosen by the engine have a small share without grants.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from .target_selection import get_rendezvous_digest

GRANT_VALIDITY_S = 0.3
"""Time from asking for a grant until the request must have been sent. Sends within a
second then come from grants of at most 1.3 s, also if a node is suspended."""

MAX_CONTACT_AGE_S = 1.0
"""Age of the last contact with the leader up to which a coordinator grants. A leader
assigns its services to another node 1.4 s after the contact at the earliest, when the
last grant has expired."""

TAKEOVER_WAIT_S = MAX_CONTACT_AGE_S + GRANT_VALIDITY_S
"""Time after which the grants of a former coordinator have expired whose last contact
was with a former leader. A new leader may name another coordinator at once."""

SETTLE_S = 3.0
"""Time after the first contact with a leader from which it changes an assignment only
after the timeout of the former coordinator's contact. It waits 1 s for calls of nodes;
the former leader may answer some of them a little longer."""

LOCAL_SENDERS = 2
"""Nodes that may send to a cold engine without a grant."""

VIEW_FACTOR = 2
"""Number of different views of the fleet's hosts that nodes may have at once, each of
which gives other local senders."""

BURST = 1.0
"""Largest number of grants at once."""

WINDOW_S = 1.0
"""Length of the sliding window in which the limit counts requests."""


GRANT_WINDOW_S = WINDOW_S + GRANT_VALIDITY_S
"""Time within which the grants are made whose requests are sent within a second."""


@dataclass(frozen=True)
class ColdBounds:
    """By how much the rate of a cold engine may be exceeded."""

    overrun: float = 1.5
    slack: float = 5.0

    def get_limit(self, rate_per_s: float) -> float:
        """Return the number of requests that an engine may get in a sliding second."""
        return rate_per_s * self.overrun + self.slack

    def get_fill_per_s(self, rate_per_s: float) -> float:
        """Return the rate at which a coordinator's allowance fills.

        With its burst it grants no more than the engine's rate in a second, and no more
        than the limit in the time from which the sends of a second come.
        """
        usual = max(rate_per_s - BURST, rate_per_s / 2)
        limit = math.floor(self.get_limit(rate_per_s))
        return max(0.0, min(usual, (limit - BURST) / GRANT_WINDOW_S))

    def get_local_share(self, rate_per_s: float) -> int:
        """Return the number of requests a second that a local sender may send."""
        rest = self.get_limit(rate_per_s) - GRANT_WINDOW_S * rate_per_s
        return max(0, math.floor(rest / LOCAL_SENDERS / VIEW_FACTOR))


@dataclass
class GrantAllowance:
    """A coordinator's allowance of one cold engine; it begins empty.

    Args:
        fill_per_s: Grants a second.
        updated_s: When the allowance was computed last.
    """

    fill_per_s: float
    updated_s: float
    grants: float = 0.0

    def has_grant(self, now_s: float) -> bool:
        """Whether a request may be granted."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.grants = min(BURST, self.grants + elapsed_s * self.fill_per_s)
        self.updated_s = max(now_s, self.updated_s)
        return self.grants >= 1.0

    def take(self) -> None:
        """Subtract a grant."""
        self.grants -= 1.0


@dataclass
class LocalAllowance:
    """A local sender's allowance of one cold engine.

    Requests are counted when the engine is chosen for them, and sent up to
    `GRANT_VALIDITY_S` later.
    """

    times_s: deque[float] = field(default_factory=deque)

    def may_send(self, share: int, now_s: float) -> bool:
        """Whether one more request may be sent now."""
        while self.times_s and self.times_s[0] <= now_s - GRANT_WINDOW_S:
            self.times_s.popleft()
        return len(self.times_s) < share

    def record(self, now_s: float) -> None:
        """Count a request."""
        self.times_s.append(now_s)


def may_grant(
    contact_age_s: float, contact_for_s: float, assigned_for_s: float
) -> bool:
    """Whether a coordinator may grant sends to cold engines.

    Args:
        contact_age_s: Time since its last contact with the leader.
        contact_for_s: Time for which it has had contact with this term's leader without
            losing it.
        assigned_for_s: Time for which it has known of its assignment.
    """
    if contact_age_s >= MAX_CONTACT_AGE_S or contact_for_s < TAKEOVER_WAIT_S:
        return False
    is_settled = contact_for_s - assigned_for_s >= SETTLE_S
    return is_settled or assigned_for_s >= TAKEOVER_WAIT_S


def is_expired(asked_s: float, now_s: float) -> bool:
    """Whether a grant that was asked for at a time must not be used any more."""
    return now_s - asked_s > GRANT_VALIDITY_S


def choose_local_senders(target_id: str, hosts: Collection[str]) -> list[str]:
    """Return the nodes that may send to a cold engine without a grant."""
    return heapq.nsmallest(
        LOCAL_SENDERS, hosts, key=lambda host: get_rendezvous_digest(target_id, host)
    )
