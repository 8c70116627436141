"""Limits how many copies of one request are in flight at once.

A request that crashes targets may be sent several times before its first crash is
known. Each fingerprint has an owner: a node selected by rendezvous hashing. The
owner lets one copy run at a time until one has completed. After a copy's target has
died, further copies run only as trials. This way at most two targets die, and the
trial of another suspect does not share its target with a copy.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import OrderedDict
from collections.abc import Callable

from ..context.sharded_directory import choose_owner_node
from ..errors import DeadlineExceededError, LaburnumpitchError
from ..membership.cluster_view import ClusterView
from ..transport.codec import Message
from ..transport.rpc import RpcPool

MAX_COMPLETED_FINGERPRINTS = 20_000
"""Maximum number of fingerprints of completed requests that a node keeps."""

MAX_SUSPECT_FINGERPRINTS = 2_000
"""Maximum number of fingerprints of suspect requests that a node keeps."""

OWNER_TIMEOUT_S = 0.25
"""Timeout for the owner's answer, after which the copy runs without it."""

INFLIGHT_TTL_S = 120.0
"""Time after which the entry of a copy expires if its end was not reported."""

RETRY_INTERVAL_S = 0.1
"""Interval at which a waiting copy calls the owner again."""


class EnterFlight(Message):
    """Requests permission to run a copy of a request from its fingerprint's owner."""

    fingerprint: str
    attempt: str
    is_trial: bool = False
    """Whether a target died while it ran the request, so that no other copy may run."""


class FlightAnswer(Message):
    """The owner's answer to `EnterFlight`."""

    may_run: bool
    is_doubtful: bool = False
    """Whether the request is a suspect and may run only as a trial."""


class LeaveFlight(Message):
    """Reports to the owner that a copy of a request has ended."""

    fingerprint: str
    attempt: str
    is_proven: bool
    """Whether the copy completed, which shows that the request is harmless."""


def get_fingerprint(organisation: str, body: bytes) -> str:
    """Return a digest that equal requests of an organisation share."""
    name = organisation.encode()
    seed = len(name).to_bytes(4, "big") + name
    return hashlib.blake2b(seed + body, digest_size=16).hexdigest()


class InflightTable:
    """The copies in flight of the requests whose fingerprints this node owns.

    Args:
        get_time_s: Returns the monotonic time.
    """

    def __init__(self, get_time_s: Callable[[], float] = time.monotonic) -> None:
        self.get_time_s = get_time_s
        self.inflight_by_fingerprint: dict[str, dict[str, float]] = {}
        """Start time of each copy, by fingerprint and attempt."""
        self.completed: OrderedDict[str, None] = OrderedDict()
        """Fingerprints of requests that have completed; the oldest one is first."""
        self.suspects: OrderedDict[str, None] = OrderedDict()
        """Fingerprints of requests whose targets died; the oldest one is first."""

    async def handle_enter(self, call: EnterFlight) -> FlightAnswer:
        """Let a copy run if the request has completed before or no other copy runs."""
        inflight = self.inflight_by_fingerprint.setdefault(call.fingerprint, {})
        now_s = self.get_time_s()
        for attempt, entered_s in list(inflight.items()):
            if now_s - entered_s > INFLIGHT_TTL_S:
                del inflight[attempt]
        if call.is_trial:
            add_bounded(self.suspects, call.fingerprint, MAX_SUSPECT_FINGERPRINTS)
            self.completed.pop(call.fingerprint, None)
        is_suspect = call.fingerprint in self.suspects
        other_copies = len(inflight) - (call.attempt in inflight)
        if call.fingerprint in self.completed or other_copies == 0:
            inflight[call.attempt] = now_s
            return FlightAnswer(True, is_suspect)
        return FlightAnswer(False, is_suspect)

    async def handle_leave(self, call: LeaveFlight) -> None:
        """Remove a copy; if it completed, later copies run without a limit."""
        inflight = self.inflight_by_fingerprint.get(call.fingerprint, {})
        inflight.pop(call.attempt, None)
        if not inflight:
            self.inflight_by_fingerprint.pop(call.fingerprint, None)
        if call.is_proven:
            self.suspects.pop(call.fingerprint, None)
            add_bounded(self.completed, call.fingerprint, MAX_COMPLETED_FINGERPRINTS)


def add_bounded(table: OrderedDict[str, None], key: str, limit: int) -> None:
    """Add a key to a table, and evict the oldest one if it is over its limit."""
    table[key] = None
    if len(table) > limit:
        table.popitem(last=False)


class InflightLimiter:
    """Calls the owner of a request's fingerprint, which may be this node.

    Args:
        node_id: Identifier of this node.
        table: The copies whose fingerprints this node owns.
        view: The node's view; its live nodes share the fingerprints.
        rpc_pool: Connections to the other nodes.
    """

    def __init__(
        self, node_id: str, table: InflightTable, view: ClusterView, rpc_pool: RpcPool
    ) -> None:
        self.node_id = node_id
        self.table = table
        self.view = view
        self.rpc_pool = rpc_pool

    async def acquire(
        self, fingerprint: str, attempt: str, deadline_s: float, is_trial: bool = False
    ) -> bool:
        """Wait until a copy may run; if the owner does not answer, it runs as well.

        Args:
            fingerprint: Fingerprint that equal requests share.
            attempt: Identifier of the copy.
            deadline_s: Monotonic time until which to wait.
            is_trial: Whether a target died while it ran the request.

        Returns:
            Whether the request is a suspect and may run only as a trial.

        Raises:
            DeadlineExceededError: If other copies still run at the deadline.
        """
        call = EnterFlight(fingerprint, attempt, is_trial)
        while True:
            answer = await self.call_owner(call)
            if answer.may_run:
                return answer.is_doubtful
            if time.monotonic() >= deadline_s:
                raise DeadlineExceededError("copies of this request are still running")
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def call_owner(self, call: EnterFlight) -> FlightAnswer:
        """Call the owner once; if it does not answer, the copy may run."""
        owner = choose_owner_node(call.fingerprint, self.view.get_active_nodes())
        if owner is None:
            return FlightAnswer(True)
        if owner.node_id == self.node_id:
            return await self.table.handle_enter(call)
        try:
            return await self.rpc_pool.get(owner.address).call(call, OWNER_TIMEOUT_S)
        except LaburnumpitchError:
            return FlightAnswer(True)

    async def release(self, fingerprint: str, attempt: str, is_proven: bool) -> None:
        """Report to the owner that a copy has ended."""
        call = LeaveFlight(fingerprint, attempt, is_proven)
        owner = choose_owner_node(fingerprint, self.view.get_active_nodes())
        if owner is None:
            return
        if owner.node_id == self.node_id:
            await self.table.handle_leave(call)
        else:
            self.rpc_pool.get(owner.address).notify(call)
