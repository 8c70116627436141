"""Bounds how many copies of one unproven request run at once.

A request that crashes targets may be sent several times before its first crash
is known. The owner of its fingerprint, a node found by rendezvous hash, lets one
copy run at a time until one has finished. Once a copy's target has died, a copy
runs only as a trial, so that at most two targets die, and a neighbour's trial
does not meet another copy.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import OrderedDict
from collections.abc import Callable

from ..context.shards import get_owner
from ..errors import DeadlineExceededError, LaburnumpitchError
from ..membership.cluster_view import ClusterView
from ..transport.codec import message
from ..transport.rpc import RpcPool

MAX_PROVEN = 20_000
"""Fingerprints of finished requests that are remembered."""

MAX_DOUBTFUL = 2_000
"""Fingerprints whose targets died that are remembered."""

ENTER_TIMEOUT_S = 0.25
"""Time for the owner to answer before the copy goes on without."""

FLIGHT_TTL_S = 120.0
"""Time after which a copy is forgotten whose node has not told of its end."""

WAIT_INTERVAL_S = 0.1
"""Pause before a copy that had to wait asks again."""


@message
class EnterFlight:
    """A copy of a request wants to run."""

    fingerprint: str
    attempt: str
    is_trial: bool = False
    """Whether a target died of it, so that it must be the only copy."""


@message
class FlightAnswer:
    """Whether the copy may run now."""

    may_run: bool
    is_doubtful: bool = False
    """Whether it may only run as a trial."""


@message
class LeaveFlight:
    """A copy of a request has ended."""

    fingerprint: str
    attempt: str
    is_proven: bool
    """Whether it finished without its target's death."""


def get_fingerprint(organisation: str, body: bytes) -> str:
    """Return the fingerprint of a request."""
    name = organisation.encode()
    seed = len(name).to_bytes(4, "big") + name
    return hashlib.blake2b(seed + body, digest_size=16).hexdigest()


class FlightTable:
    """Copies in flight of the fingerprints that this node owns.

    Args:
        get_time_s: Monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float] = time.monotonic) -> None:
        self.get_time_s = get_time_s
        self.flights: dict[str, dict[str, float]] = {}
        """Time of entering by attempt, by fingerprint."""
        self.proven: OrderedDict[str, None] = OrderedDict()
        self.doubtful: OrderedDict[str, None] = OrderedDict()

    async def on_enter(self, call: EnterFlight) -> FlightAnswer:
        """Let a copy run if few enough others do."""
        flights = self.flights.setdefault(call.fingerprint, {})
        now_s = self.get_time_s()
        for attempt, entered_s in list(flights.items()):
            if now_s - entered_s > FLIGHT_TTL_S:
                del flights[attempt]
        if call.is_trial:
            remember(self.doubtful, call.fingerprint, MAX_DOUBTFUL)
            self.proven.pop(call.fingerprint, None)
        is_doubtful = call.fingerprint in self.doubtful
        others = len(flights) - (call.attempt in flights)
        if call.fingerprint in self.proven or others == 0:
            flights[call.attempt] = now_s
            return FlightAnswer(True, is_doubtful)
        return FlightAnswer(False, is_doubtful)

    async def on_leave(self, call: LeaveFlight) -> None:
        """Count a copy out."""
        flights = self.flights.get(call.fingerprint, {})
        flights.pop(call.attempt, None)
        if not flights:
            self.flights.pop(call.fingerprint, None)
        if call.is_proven:
            self.doubtful.pop(call.fingerprint, None)
            remember(self.proven, call.fingerprint, MAX_PROVEN)


def remember(table: OrderedDict[str, None], key: str, limit: int) -> None:
    """Add a key to a bounded table, dropping the oldest one."""
    table[key] = None
    if len(table) > limit:
        table.popitem(last=False)


class FlightGuard:
    """Asks the owner of a fingerprint, which may be this node.

    Args:
        node_id: This node.
        table: This node's own fingerprints.
        view: Nodes that share the fingerprints.
        pool: Connections to the other nodes.
    """

    def __init__(
        self, node_id: str, table: FlightTable, view: ClusterView, pool: RpcPool
    ) -> None:
        self.node_id = node_id
        self.table = table
        self.view = view
        self.pool = pool

    async def enter(
        self, fingerprint: str, attempt: str, deadline_s: float, is_trial: bool = False
    ) -> bool:
        """Wait until a copy may run; an owner that does not answer is no bar.

        Args:
            fingerprint: Identifies equal requests.
            attempt: Identifies the copy.
            deadline_s: Monotonic time until which to wait.
            is_trial: Whether a target died of it.

        Returns:
            Whether it may only run as a trial.

        Raises:
            DeadlineExceededError: If other copies ran for too long.
        """
        call = EnterFlight(fingerprint, attempt, is_trial)
        while True:
            answer = await self.ask(call)
            if answer.may_run:
                return answer.is_doubtful
            if time.monotonic() >= deadline_s:
                raise DeadlineExceededError("equal requests are still running")
            await asyncio.sleep(WAIT_INTERVAL_S)

    async def ask(self, call: EnterFlight) -> FlightAnswer:
        """Ask the owner once."""
        owner = get_owner(call.fingerprint, self.view.get_active_nodes())
        if owner is None:
            return FlightAnswer(True)
        if owner.node_id == self.node_id:
            return await self.table.on_enter(call)
        try:
            return await self.pool.get(owner.address).call(call, ENTER_TIMEOUT_S)
        except LaburnumpitchError:
            return FlightAnswer(True)

    async def leave(self, fingerprint: str, attempt: str, is_proven: bool) -> None:
        """Tell the owner that a copy has ended."""
        call = LeaveFlight(fingerprint, attempt, is_proven)
        owner = get_owner(fingerprint, self.view.get_active_nodes())
        if owner is None:
            return
        if owner.node_id == self.node_id:
            await self.table.on_leave(call)
        else:
            self.pool.get(owner.address).notify(call)
