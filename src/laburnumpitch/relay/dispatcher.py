"""Gives each request a target, or a place in the queue of this node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..errors import NoTargetError, OverloadedError
from ..fleet.load_totals import NO_LOAD
from ..fleet.messages import FleetLoad, PlaceAnswer, PlaceCall, TargetRecord
from ..policy.placement import believe_others, choose_target
from ..policy.room import TargetRoom, has_room
from ..policy.send_window import SendWindow
from ..policy.waiting import Claim, can_be_on_time, get_order
from .place_client import Place
from .request import Admitted
from .target_view import TargetView

MAX_WAIT_OBJECTIVES = 1.0
"""Longest wait for a place, in objectives; later an answer is late whatever comes."""

MAX_WAIT_SHARE = 0.5
"""Part of the time left that is spent waiting, so that the rest serves for an answer
or a return."""

LOOK_S = 0.05
"""Time after which a queue is looked at again if nothing else does it."""


class Places(Protocol):
    """Places that a coordinator gives."""

    async def ask(self, call: PlaceCall) -> tuple[PlaceAnswer, Place | None] | None:
        """Return a coordinator's answer and the place, or None without an answer."""

    def note_read(self, place: Place) -> None:
        """Tell that a place's prompt has been read."""

    def give_back(self, place: Place) -> None:
        """Tell that a place is free."""


@dataclass(eq=False)
class Waiter:
    """A request that waits for a place."""

    claim: Claim
    admitted: Admitted
    excluded: frozenset[str]
    future: asyncio.Future[TargetRecord]


class Dispatcher:
    """Places requests on targets.

    Args:
        view: What this node believes of targets.
        places: Places that coordinators give.
        get_time_s: Monotonic time.
        random_source: Breaks ties.
    """

    def __init__(
        self,
        view: TargetView,
        places: Places,
        get_time_s: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self.view = view
        self.follower = view.follower
        self.board = view.board
        self.places = places
        self.get_time_s = get_time_s
        self.random = random_source
        self.waiters: list[Waiter] = []
        self.given: dict[int, Place] = {}
        """Places by the request that has them."""
        self.windows: dict[str, SendWindow] = {}
        """What this node may have unread by its own knowledge, by service."""
        self.placing: dict[str, asyncio.Task[None]] = {}
        """Tasks that place what waits, by service."""
        self.changed = asyncio.Event()
        self.ask_again_s: dict[str, float] = {}
        """Time after which a coordinator wants to be asked again, by service."""
        self.follower.on_change.append(self.on_targets)
        self.follower.on_other_loads = self.look_again

    def close(self) -> None:
        """Place nothing more."""
        for task in list(self.placing.values()):
            task.cancel()

    def on_targets(self) -> None:
        """Take changed targets."""
        self.view.update()
        self.look_again()

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a place."""
        return len(self.waiters)

    async def acquire(
        self, admitted: Admitted, excluded: frozenset[str], deadline_s: float
    ) -> TargetRecord:
        """Return a target that the request is counted at.

        Raises:
            NoTargetError: If the service has no target.
            OverloadedError: If no place came free in time.
        """
        targets = self.view.get_targets(admitted.service)
        if all(target.target_id in excluded for target in targets):
            raise NoTargetError(f"{admitted.service} has no target")
        if not self.has_earlier(admitted):
            target = await self.try_place(admitted, excluded)
            if target is not None:
                return target
        return await self.wait(admitted, excluded, deadline_s)

    def has_earlier(self, admitted: Admitted) -> bool:
        """Whether a request of the service waits that goes before this one."""
        now_s = self.get_time_s()
        own = get_order(make_claim(admitted), now_s)
        return any(
            waiter.admitted.service == admitted.service
            and get_order(waiter.claim, now_s) < own
            for waiter in self.waiters
        )

    # The queue.

    async def wait(
        self, admitted: Admitted, excluded: frozenset[str], deadline_s: float
    ) -> TargetRecord:
        """Wait for a place.

        Raises:
            OverloadedError: If none came free in time.
        """
        now_s = self.get_time_s()
        objective_s = admitted.route.objective_s
        wait_s = min(
            (deadline_s - now_s) * MAX_WAIT_SHARE, objective_s * MAX_WAIT_OBJECTIVES
        )
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(make_claim(admitted), admitted, excluded, future)
        self.waiters.append(waiter)
        self.start_placing(admitted.service)
        try:
            # Not wait_for, which drops a cancellation that comes with the result.
            await asyncio.wait({future}, timeout=max(0.0, wait_s))
        except asyncio.CancelledError:
            if future.done():
                self.drop(future.result(), admitted)
            raise
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if not future.done():
            raise OverloadedError(f"{admitted.service} is full")
        return future.result()

    def look_again(self) -> None:
        """Let queues be looked at now."""
        self.changed.set()
        self.changed = asyncio.Event()

    def start_placing(self, service: str) -> None:
        """Place what waits for a service, as long as anything does."""
        if service not in self.placing:
            self.placing[service] = asyncio.create_task(self.run_placing(service))

    async def run_placing(self, service: str) -> None:
        """Place what waits for a service until nothing does."""
        try:
            while waiter := self.find_first(service):
                await self.place_first(waiter)
        finally:
            # In the same step as the last look, or a request that comes between
            # would wait for a task that has ended.
            del self.placing[service]

    async def place_first(self, waiter: Waiter) -> None:
        """Place the request that goes first, or wait a moment without room.

        A later request does not overtake it, or large prompts would never go.
        """
        service = waiter.admitted.service
        changed = self.changed
        target = await self.try_place(waiter.admitted, waiter.excluded)
        if target is None:
            try:
                async with asyncio.timeout(self.ask_again_s.get(service, LOOK_S)):
                    await changed.wait()
            except asyncio.TimeoutError:
                # It is time to ask again.
                return
        elif waiter in self.waiters and not waiter.future.done():
            self.waiters.remove(waiter)
            waiter.future.set_result(target)
        else:
            self.drop(target, waiter.admitted)

    def find_first(self, service: str) -> Waiter | None:
        """Return the waiting request that goes first."""
        now_s = self.get_time_s()
        own = [w for w in self.waiters if w.admitted.service == service]
        return min(own, key=lambda w: get_order(w.claim, now_s), default=None)

    # Places.

    def make_call(self, admitted: Admitted, excluded: frozenset[str]) -> PlaceCall:
        """Return what a request needs."""
        facts = admitted.facts
        claim = make_claim(admitted)
        suspects = [
            target.target_id
            for target in self.view.get_targets(admitted.service)
            if self.board.is_suspect(target)
        ]
        return PlaceCall(
            service=admitted.service,
            key=facts.affinity_key if admitted.route.has_context else "",
            model=facts.model,
            prompt_tokens=facts.prompt_tokens,
            shared_tokens=facts.shared_tokens,
            output_tokens=facts.output_tokens,
            objective_s=admitted.route.objective_s,
            is_late=not can_be_on_time(claim, self.get_time_s()),
            data_centre=self.follower.node.data_centre,
            excluded=sorted(excluded),
            suspects=suspects,
        )

    async def try_place(
        self, admitted: Admitted, excluded: frozenset[str]
    ) -> TargetRecord | None:
        """Return a target that the request is counted at, or None without room."""
        call = self.make_call(admitted, excluded)
        answered = await self.places.ask(call)
        if answered is None:
            self.ask_again_s.pop(admitted.service, None)
            return self.place(admitted, call)
        answer, place = answered
        if place is None:
            self.ask_again_s[admitted.service] = answer.wait_s
            return None
        target = self.view.find(admitted.service, answer.target_id)
        if target is None or not self.view.is_usable(target, call):
            # This node knows more of it than the coordinator does.
            self.places.give_back(place)
            return self.place(admitted, call)
        self.given[id(admitted)] = place
        self.board.begin(target, admitted.facts.prompt_tokens)
        return target

    def place(self, admitted: Admitted, call: PlaceCall) -> TargetRecord | None:
        """Choose a target by what this node knows itself, and count there."""
        if not self.fits_window(admitted):
            return None
        targets = [
            target
            for target in self.view.get_targets(admitted.service)
            if target.target_id not in call.excluded
            and self.view.is_usable(target, call)
            and self.has_place(target, call)
        ]
        mean = self.get_mean_load(targets)
        store = self.view.find_store(call)
        candidates = []
        for target in targets:
            seen = self.board.get(target.target_id)
            others = self.follower.other_loads.get(target.target_id, NO_LOAD)
            believed = believe_others(others.running, mean, seen.service_s)
            candidates.append(
                self.view.describe(
                    target,
                    call,
                    store,
                    seen.running + believed,
                    seen.unread_tokens,
                )
            )
        ties = [self.random.random() for _ in candidates]
        chosen = choose_target(candidates, call.key, ties, self.follower.node_count)
        if chosen is None:
            return None
        target = next(t for t in targets if t.target_id == chosen.target_id)
        self.board.begin(target, call.prompt_tokens)
        if admitted.route.has_context:
            self.get_window(admitted.service).begin(
                id(admitted), call.prompt_tokens, call.objective_s, self.get_time_s()
            )
        return target

    def has_place(self, target: TargetRecord, call: PlaceCall) -> bool:
        """Whether this node may send a target one more request."""
        seen = self.board.get(target.target_id)
        own = FleetLoad(seen.running, seen.running_tokens)
        others = self.follower.other_loads.get(target.target_id, NO_LOAD)
        engine = self.view.get_engine(target.service)
        room = TargetRoom(target.slots, engine.context_tokens if engine else None)
        count = self.follower.node_count
        return has_room(own, others, call.prompt_tokens, room, count)

    def get_mean_load(self, targets: list[TargetRecord]) -> float:
        """Return what the other nodes have at a target on average."""
        if not targets:
            return 0.0
        loads = self.follower.other_loads
        running = sum(loads.get(t.target_id, NO_LOAD).running for t in targets)
        return running / len(targets)

    def get_window(self, service: str) -> SendWindow:
        """Return what this node may have unread at a service."""
        window = self.windows.get(service)
        if window is None:
            window = self.windows[service] = SendWindow()
        return window

    def fits_window(self, admitted: Admitted) -> bool:
        """Whether this node may have one more prompt of this size unread."""
        if not admitted.route.has_context:
            return True
        window = self.get_window(admitted.service)
        return window.may_send(admitted.facts.prompt_tokens, self.get_time_s())

    # What becomes of a place.

    def note_read(
        self, target: TargetRecord, admitted: Admitted, duration_s: float | None
    ) -> None:
        """Count a prompt out of the unread ones.

        Args:
            target: Where it was sent.
            admitted: The request.
            duration_s: Time to its first event; None if none came.
        """
        tokens = admitted.facts.prompt_tokens
        self.board.note_first(target, tokens)
        place = self.given.get(id(admitted))
        if place is not None and duration_s is not None:
            self.places.note_read(place)
        window = self.get_window(target.service)
        window.end(id(admitted))
        if duration_s is not None and admitted.route.has_context:
            objective_s = admitted.route.objective_s
            window.note_read(tokens, duration_s, objective_s, self.get_time_s())

    def release(self, target: TargetRecord, admitted: Admitted) -> None:
        """Count a request out of a target."""
        self.board.end(target, admitted.facts.prompt_tokens)
        place = self.given.pop(id(admitted), None)
        if place is not None:
            self.places.give_back(place)
        self.look_again()

    def drop(self, target: TargetRecord, admitted: Admitted) -> None:
        """Give back a place that the request did not use."""
        self.note_read(target, admitted, None)
        self.release(target, admitted)


def make_claim(admitted: Admitted) -> Claim:
    """Return a request's claim to a place."""
    due_s = admitted.request.read_at_s + admitted.route.objective_s
    return Claim(admitted.rank, due_s)
