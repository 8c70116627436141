"""Asks the coordinators of services for places, and gives places back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import LaburnumpitchError, NotCoordinatorError, RpcTimeoutError
from ..fleet.fleet_view import FleetView
from ..fleet.messages import PlaceAnswer, PlaceCall, PlaceProgress
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.rpc import RpcPool
from .coordinator import Coordinator, make_duty

ASK_TIMEOUT_S = 0.03
"""Time for a coordinator's answer; two ways between data centres and some work."""

LATE_S = 5.0
"""Time for which a late answer is looked for; a frozen node may still give places."""

DISTRUST_S = 0.4
"""Time for which a coordinator that did not answer is not asked."""

FLUSH_S = 0.01
"""Time for which news of places is gathered before it is sent."""


@dataclass
class Progress:
    """News of places that was not sent yet."""

    read: list[int] = field(default_factory=list)
    ended: list[int] = field(default_factory=list)


@dataclass(frozen=True)
class Place:
    """A place that a coordinator gave."""

    service: str
    host: str
    """Who gave it."""
    number: int


class PlaceClient:
    """Asks for places.

    Args:
        follower: This node's view of the fleet.
        coordinator: This node's own coordinator.
        pool: Connections to other nodes.
        rpc_port: Port of every node.
        metrics: Where measurements go.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        follower: FleetView,
        coordinator: Coordinator,
        pool: RpcPool,
        rpc_port: int,
        metrics: Metrics,
        get_time_s: Callable[[], float],
    ) -> None:
        self.follower = follower
        self.coordinator = coordinator
        self.pool = pool
        self.rpc_port = rpc_port
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.distrusted_s: dict[str, float] = {}
        """Until when hosts that did not answer are not asked."""
        self.progress: dict[tuple[str, str], Progress] = {}
        """News by host and service."""
        self.timer: asyncio.TimerHandle | None = None
        self.asking: set[asyncio.Task[PlaceAnswer]] = set()
        self.log = get_logger()

    def close(self) -> None:
        """Send no more news."""
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.asking):
            task.cancel()

    def find_host(self, service: str) -> str | None:
        """Return the coordinator of a service, unless it is not trusted now."""
        host = self.follower.assignments.get(make_duty(service))
        if host is None or self.distrusted_s.get(host, 0.0) > self.get_time_s():
            return None
        return host

    async def ask(self, call: PlaceCall) -> tuple[PlaceAnswer, Place | None] | None:
        """Return a coordinator's answer and the place, or None without an answer."""
        host = self.find_host(call.service)
        if host is None:
            return None
        try:
            if host == self.follower.node.host:
                answer = await self.coordinator.on_place(call)
            else:
                answer = await self.ask_host(host, call)
        except LaburnumpitchError as error:
            # The node places by what it knows itself; no request fails of it.
            self.metrics.count("place.unanswered")
            self.distrusted_s[host] = self.get_time_s() + DISTRUST_S
            if error.code != NotCoordinatorError.code:
                self.log.info(
                    "coordinator_silent",
                    host=host,
                    service=call.service,
                    code=error.code,
                )
            return None
        if not answer.target_id:
            return answer, None
        return answer, Place(call.service, host, answer.number)

    async def ask_host(self, host: str, call: PlaceCall) -> PlaceAnswer:
        """Ask another node; what it gives too late is given back.

        Raises:
            RpcTimeoutError: If it did not answer in time.
            LaburnumpitchError: The failure that it answered.
        """
        client = self.pool.get(f"{host}:{self.rpc_port}")
        asking = asyncio.create_task(client.call(call, LATE_S))
        self.asking.add(asking)
        asking.add_done_callback(self.asking.discard)
        try:
            done, _ = await asyncio.wait({asking}, timeout=ASK_TIMEOUT_S)
            if not done:
                raise RpcTimeoutError(f"places of {call.service} from {host}")
            return asking.result()
        except (RpcTimeoutError, asyncio.CancelledError):
            asking.add_done_callback(
                lambda late: self.return_late(host, call.service, late)
            )
            raise

    def return_late(
        self, host: str, service: str, asking: asyncio.Task[PlaceAnswer]
    ) -> None:
        """Give a place back that nobody waits for any more."""
        if asking.cancelled() or asking.exception() is not None:
            return
        answer = asking.result()
        if answer.target_id:
            self.give_back(Place(service, host, answer.number))

    def note_read(self, place: Place) -> None:
        """Tell that a place's prompt has been read."""
        self.get_progress(place).read.append(place.number)

    def give_back(self, place: Place) -> None:
        """Tell that a place is free."""
        self.get_progress(place).ended.append(place.number)

    def get_progress(self, place: Place) -> Progress:
        """Return the news for a place's coordinator, which are soon sent."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(FLUSH_S, self.flush)
        return self.progress.setdefault((place.host, place.service), Progress())

    def flush(self) -> None:
        """Send all news."""
        self.timer = None
        gathered, self.progress = self.progress, {}
        for (host, service), news in gathered.items():
            notice = PlaceProgress(service, news.read, news.ended)
            if host == self.follower.node.host:
                self.coordinator.take_progress(notice)
            else:
                self.pool.get(f"{host}:{self.rpc_port}").notify(notice)
