"""Decides what clients may make a node hold, and which connection is closed first.

The load that it answers: clients that send bodies over their limit or stop in the
middle of them, clients that read no answers, and more connections than the machine has
descriptors. A node's machine has 128 to 300 MB. Reading pauses first; a connection is
closed only while others wait, and only if it holds much and makes no progress.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from enum import Enum

KB = 1024
MB = 1024 * KB

DEFAULT_MEMORY_BYTES = 1024 * MB
"""Memory of a machine whose settings do not say it."""

DEFAULT_DESCRIPTORS = 12_500
"""Descriptors of a machine whose settings do not say it: room for 4,096 connections at
an address, as before there was a budget."""

BUDGET_SHARE = 0.25
"""Share of the memory for what clients make a node hold. A process needs some 45 MB
itself, and data that is passed on is copied for a moment."""

RESERVED_DESCRIPTORS = 200
"""Descriptors for files."""

CONNECTION_SHARE = 0.45
"""Share of the other descriptors for clients. Each of their requests may need another
one to a target; the rest is for other nodes."""

SERVER_SHARE = 0.75
"""Share of the clients' connections that one listening address may have."""

ROOM_SHARE = 0.1
"""Share of its connections for which room is made when a listening address may have no
more."""

CONNECTION_BYTES = 16 * KB
"""What an idle connection is counted with: its socket, protocol and task."""

SMALL_BYTES = 32 * KB
"""Size up to which a request is read while there is any room: twice the largest
head."""

LARGE_SHARES = (0.5, 0.75)
"""Shares of the budget up to which large requests and large answers are read."""

FIRST_SHARE = 0.25
"""Further share for one of them at a time, so that one always gets through."""

STALL_S = 2.0
"""Time without progress after which a connection may be closed if others wait."""

MIN_PROGRESS_BYTES = 4 * KB
"""Bytes sent or taken that count as progress. Single bytes do not."""

MIN_WINDOW_BYTES = 4 * KB
MAX_WINDOW_BYTES = 64 * KB
WINDOW_SHARE = 0.25
"""Size of the budget, as a share, that the buffers of all connections fit into. They
are not counted in it."""

BUFFERS_PER_CONNECTION = 3
"""A client's received data, its unsent answer, and the target's received data."""


class HoldingKind(Enum):
    """What is held; its value is the index of its share of the budget."""

    REQUEST = 0
    ANSWER = 1


@dataclass(eq=False)
class Holding:
    """What a client's connection, or an answer read from a target, has."""

    is_connection: bool
    kind: HoldingKind
    sequence: int
    """Position of its request among all requests."""
    held_bytes: int = 0
    is_protected: bool = False
    """Whether a request was read whole, and the client does not keep it waiting."""
    is_waiting: bool = False
    """Whether it waits for room; its lack of progress is not the client's then."""
    progress_bytes: int = 0
    """Bytes sent and taken by the client when progress was seen last."""
    stalled_since_s: float | None = None
    """When progress was seen last; None before the first observation."""


@dataclass(frozen=True)
class BudgetSizes:
    """Sizes of a node's budget."""

    max_bytes: int
    max_connections: int

    @property
    def max_server_connections(self) -> int:
        """Maximum number of connections of one listening address."""
        return max(1, int(self.max_connections * SERVER_SHARE))

    @property
    def max_body_bytes(self) -> int:
        """Size of the largest body that is read, whatever the limit on bodies.

        A larger one might not get through while others have a part of the room.
        """
        return int(self.max_bytes * FIRST_SHARE)


def make_sizes(
    memory_bytes: int = DEFAULT_MEMORY_BYTES,
    max_descriptors: int = DEFAULT_DESCRIPTORS,
) -> BudgetSizes:
    """Return the sizes of a budget on a machine."""
    max_bytes = int(memory_bytes * BUDGET_SHARE)
    free_descriptors = max(8, max_descriptors - RESERVED_DESCRIPTORS)
    by_descriptors = int(free_descriptors * CONNECTION_SHARE)
    by_memory = int(max_bytes * LARGE_SHARES[1] / CONNECTION_BYTES)
    return BudgetSizes(max_bytes, max(4, min(by_descriptors, by_memory)))


class ClientBudget:
    """The budget of a node.

    Args:
        sizes: Its sizes.
    """

    def __init__(self, sizes: BudgetSizes) -> None:
        self.sizes = sizes
        self.sequences = itertools.count()
        self.holdings: set[Holding] = set()
        self.held_bytes = 0
        self.connections = 0
        self.first: dict[HoldingKind, Holding] = {}
        """The one of each kind that may use `FIRST_SHARE`, until it is complete."""

    @property
    def is_full(self) -> bool:
        """Whether a further connection needs another one's place."""
        return self.connections >= self.sizes.max_connections

    def count_excess_connections(self) -> int:
        """Return how many idle connections to close; 0 if there is room for more.

        Some room is made at once, since new clients arrive in groups.
        """
        max_connections = self.sizes.max_server_connections
        if self.connections < max_connections:
            return 0
        return self.connections - int(max_connections * (1 - ROOM_SHARE))

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more may be held, however small."""
        return self.held_bytes + SMALL_BYTES > self.sizes.max_bytes

    def open_connection(self) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(True, HoldingKind.REQUEST, next(self.sequences))
        self.holdings.add(holding)
        self.connections += 1
        self.resize(holding, CONNECTION_BYTES)
        return holding

    def open_answer(self) -> Holding:
        """Return the empty holding of an answer that is read whole from a target."""
        holding = Holding(False, HoldingKind.ANSWER, next(self.sequences))
        self.holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a holding."""
        if holding not in self.holdings:
            return
        self.end_growth(holding)
        self.resize(holding, 0)
        self.holdings.discard(holding)
        if holding.is_connection:
            self.connections -= 1

    def begin_request(self, holding: Holding) -> None:
        """Record that a connection begins another request."""
        self.end_growth(holding)
        holding.kind = HoldingKind.REQUEST
        holding.sequence = next(self.sequences)
        holding.stalled_since_s = None

    def resize(self, holding: Holding, held_bytes: int) -> None:
        """Set what a holding has."""
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes

    def may_grow(self, holding: Holding, size: int) -> bool:
        """Whether a holding may take further bytes now."""
        held_bytes = self.held_bytes + size
        if holding.held_bytes + size <= CONNECTION_BYTES + SMALL_BYTES:
            return held_bytes <= self.sizes.max_bytes
        share = LARGE_SHARES[holding.kind.value]
        if held_bytes <= self.sizes.max_bytes * share:
            return True
        if held_bytes > self.sizes.max_bytes * (share + FIRST_SHARE):
            return False
        first = self.first.setdefault(holding.kind, holding)
        return first is holding

    def end_growth(self, holding: Holding) -> None:
        """Record that a request or answer is complete; the next one may be the first.

        The first one keeps its right also while it does not wait: if several had it in
        turn, they would fill the room together, and none would get through.
        """
        if self.first.get(holding.kind) is holding:
            del self.first[holding.kind]

    def can_ever_hold(self, size: int) -> bool:
        """Whether an answer of some size would fit if it were the only one."""
        return size <= self.sizes.max_bytes * LARGE_SHARES[1]

    def record_progress(
        self, holding: Holding, progress_bytes: int, now_s: float
    ) -> None:
        """Observe how much a client has sent and taken so far."""
        has_moved = progress_bytes - holding.progress_bytes >= MIN_PROGRESS_BYTES
        if has_moved or holding.is_waiting or holding.stalled_since_s is None:
            holding.progress_bytes = progress_bytes
            holding.stalled_since_s = now_s

    def choose_victim(self, now_s: float, includes_small: bool) -> Holding | None:
        """Return the connection to close so that others get room; None to wait.

        It is the one that holds most for longest without progress.

        Args:
            now_s: The current time.
            includes_small: Whether also to close those that hold little, as idle ones.
        """
        min_bytes = 0 if includes_small else CONNECTION_BYTES + SMALL_BYTES
        candidates = [
            (holding.held_bytes * (now_s - holding.stalled_since_s), holding.sequence)
            for holding in self.holdings
            if holding.stalled_since_s is not None
            and now_s - holding.stalled_since_s >= STALL_S
            and holding.is_connection
            and holding.held_bytes > min_bytes
            and not holding.is_protected
            and not holding.is_waiting
        ]
        if not candidates:
            return None
        _, sequence = max(candidates)
        return next(h for h in self.holdings if h.sequence == sequence)

    def get_window_bytes(self) -> int:
        """Return the size of a buffer; less if there are many connections."""
        buffers = BUFFERS_PER_CONNECTION * max(1, self.connections)
        window_bytes = int(self.sizes.max_bytes * WINDOW_SHARE / buffers)
        return min(max(window_bytes, MIN_WINDOW_BYTES), MAX_WINDOW_BYTES)
