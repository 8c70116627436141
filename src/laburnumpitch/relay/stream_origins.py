"""Remembers which build began each stream, for clients that take a stream up again.

The node that relays a stream tells some other nodes before the first event goes out.
Any node asks them when a client goes on with the stream. What nobody remembers is
inferred only from the committed record of builds; else the request is refused.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..errors import LaburnumpitchError, StreamOriginUnknownError
from ..fleet.fleet_view import FleetView
from ..fleet.messages import FindStream, StreamBegun, StreamFound
from ..logging import get_logger
from ..metrics import Metrics
from ..policy.build_history import infer_build
from ..policy.origin_holders import choose_holders
from ..policy.target_selection import rank_by_rendezvous_hash
from ..transport.rpc import RpcPool
from .request import AdmittedRequest

HOLDERS = 2
"""Number of other nodes that are told the origin of a stream."""

ASKED_HOLDERS = 4
"""Number of nodes that are asked; more than were told, as nodes may differ for a moment
on which nodes are live."""

FIND_TIMEOUT_S = 0.4
"""Timeout of asking: a new connection and a call to another region."""

INFER_TIMEOUT_S = 0.7
"""Longest wait for an answer of the leader, which holds calls for up to 0.6 s."""

INFER_INTERVAL_S = 0.05
"""Interval of checks whether the leader has answered."""

ORIGIN_VALIDITY_S = 120.0
"""Time for which the origin of a stream is remembered; longer than a stream lasts and
its client may take it up."""

MAX_ORIGINS = 100_000
"""Maximum number of remembered origins; the oldest ones are dropped."""


@dataclass(frozen=True)
class StreamOrigin:
    """What began a stream."""

    service: str
    build: str


class StreamOrigins:
    """This node's part in remembering the origins of streams.

    Args:
        fleet_view: This node's copy of the fleet's state.
        pool: Connections to other nodes.
        rpc_port: Port of every node.
        metrics: Records measurements.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        pool: RpcPool,
        rpc_port: int,
        metrics: Metrics,
        get_time_s: Callable[[], float],
    ) -> None:
        self.fleet_view = fleet_view
        self.pool = pool
        self.rpc_port = rpc_port
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.known: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()
        """Origin of each stream and when it began, by attempt, oldest first."""
        self.hosts: list[str] = []
        """Hosts of the fleet from which `holders` were chosen."""
        self.holders: list[str] = []
        self.log = get_logger()

    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Remember the origin of a stream that begins now, and tell other nodes.

        Targets that older software has recorded have no build.
        """
        if origin.build:
            self.publish(attempt_id, origin)

    def withdraw(self, attempt_id: str, service: str) -> None:
        """Forget which build began a stream, here and on the nodes that were told.

        The stream may not be taken up then, whatever may be inferred.
        """
        self.publish(attempt_id, StreamOrigin(service, ""))

    def publish(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Store an origin, and tell the nodes that hold it besides this one."""
        self.store(attempt_id, origin)
        notice = StreamBegun(attempt_id, origin.service, origin.build)
        for host in self.rank_holders(attempt_id)[:HOLDERS]:
            self.pool.get(f"{host}:{self.rpc_port}").notify(notice)

    def rank_holders(self, attempt_id: str) -> list[str]:
        """Return the other holders in the order in which they hold an origin."""
        hosts = self.fleet_view.hosts
        if hosts is not self.hosts:
            self.hosts = hosts
            self.holders = choose_holders(hosts)
        own_host = self.fleet_view.node.host
        others = [host for host in self.holders if host != own_host]
        return rank_by_rendezvous_hash(attempt_id, others)

    def store(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Remember an origin, and drop those that are out of date."""
        now_s = self.get_time_s()
        self.known[attempt_id] = (origin, now_s)
        self.known.move_to_end(attempt_id)
        while self.known:
            _, began_s = next(iter(self.known.values()))
            is_expired = now_s - began_s > ORIGIN_VALIDITY_S
            if not is_expired and len(self.known) <= MAX_ORIGINS:
                return
            self.known.popitem(last=False)

    async def on_stream_begun(self, notice: StreamBegun) -> None:
        """Handle another node's notice of a stream's origin."""
        self.store(notice.attempt_id, StreamOrigin(notice.service, notice.build))

    async def on_find_stream(self, call: FindStream) -> StreamFound:
        """Return the origin of a stream, as far as this node knows it."""
        origin, _ = self.known.get(call.attempt_id, (StreamOrigin("", ""), 0.0))
        return StreamFound(origin.service, origin.build)

    async def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return the origin of a stream from this node or another one, or None."""
        if attempt_id in self.known:
            return self.known[attempt_id][0]
        hosts = self.rank_holders(attempt_id)[:ASKED_HOLDERS]
        tasks = [asyncio.create_task(self.ask(host, attempt_id)) for host in hosts]
        try:
            for answer in asyncio.as_completed(tasks):
                origin = await answer
                if origin is not None:
                    return origin
        finally:
            for task in tasks:
                task.cancel()
        return None

    async def ask(self, host: str, attempt_id: str) -> StreamOrigin | None:
        """Return what another node knows of a stream's origin, or None."""
        client = self.pool.get(f"{host}:{self.rpc_port}")
        try:
            answer = await client.call(FindStream(attempt_id), FIND_TIMEOUT_S)
        except LaburnumpitchError as error:
            # Other nodes may know it.
            self.log.debug("origin_not_answered", host=host, code=error.code)
            return None
        if not answer.service:
            return None
        return StreamOrigin(answer.service, answer.build)

    async def bind(self, admitted: AdmittedRequest) -> AdmittedRequest:
        """Return a request that takes a stream up, bound to the stream's origin.

        Raises:
            StreamOriginUnknownError: If the origin is neither known nor certain, or the
                route no longer allows its service.
        """
        attempt_id = admitted.metadata.begun_by
        origin = await self.find(attempt_id) if attempt_id else None
        source = "record" if origin is not None else "inferred"
        if origin is None:
            origin = await self.infer_soon(admitted)
        is_allowed = (
            origin is not None
            and bool(origin.build)
            and admitted.route.allows_service(origin.service)
        )
        outcome = source if is_allowed else "refused"
        self.metrics.count("stream.taken_up")
        self.log.info(
            "stream_taken_up",
            request=admitted.metadata.request_id,
            begun_by=attempt_id,
            after=admitted.metadata.last_event_id,
            outcome=outcome,
            service=origin.service if origin else None,
            build=origin.build if origin else None,
            on_record=self.get_builds(admitted.service),
            leader_age_s=round(self.fleet_view.get_contact_age_s(), 2),
        )
        if not is_allowed:
            self.metrics.count("stream.unknown")
            raise StreamOriginUnknownError("the build that began the stream is unknown")
        if source == "inferred" and attempt_id:
            # The client may go on once more when several builds are on record.
            self.record(attempt_id, origin)
        return replace(admitted, service=origin.service, build=origin.build)

    def infer(self, admitted: AdmittedRequest) -> StreamOrigin | None:
        """Return the only origin that a stream can have, or None if there are several.

        A route may have moved from any service on record to another one. Without
        contact to the leader, other builds may be on record by now.
        """
        on_record = self.fleet_view.builds or {}
        if set(on_record) != {admitted.service}:
            return None
        builds = on_record[admitted.service]
        build = infer_build(builds, self.fleet_view.get_contact_age_s())
        return StreamOrigin(admitted.service, build) if build is not None else None

    async def infer_soon(self, admitted: AdmittedRequest) -> StreamOrigin | None:
        """Infer an origin; wait for the leader's next answer if that may help."""
        deadline_s = self.get_time_s() + INFER_TIMEOUT_S
        while (origin := self.infer(admitted)) is None:
            is_certain_later = len(self.get_builds(admitted.service)) == 1
            if not is_certain_later or self.get_time_s() >= deadline_s:
                return None
            await asyncio.sleep(INFER_INTERVAL_S)
        return origin

    def get_builds(self, service: str) -> dict[str, bool]:
        """Return the builds of a service on record, as this node knows them."""
        return (self.fleet_view.builds or {}).get(service, {})
