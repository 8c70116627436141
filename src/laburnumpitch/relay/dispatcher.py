"""Gives each request a target, or a place in the queue of this node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import NoTargetError, OverloadedError
from ..fleet.follower import Follower
from ..fleet.load_totals import NOTHING
from ..fleet.messages import FleetLoad, TargetRecord
from ..fleet.store_keeper import REMOTE_COST
from ..policy.placement import (
    READ_TOKENS_PER_S,
    Candidate,
    believe_others,
    choose_target,
)
from ..policy.room import TargetRoom, has_room
from ..policy.send_window import SendWindow
from ..policy.waiting import Place, get_order
from .board import Seen, TargetBoard
from .configuration import StoreSize
from .request import Admitted
from .store_choice import find_store

MAX_WAIT_OBJECTIVES = 0.6
"""Longest wait for a place, in objectives; a late answer is worth more than none."""

MAX_WAIT_SHARE = 0.5
"""Part of the time left that is spent waiting, so that the rest serves for an answer
or a return."""

SHORT_S = 0.5
"""Expected time of generation up to which a request is short; an engine gets short
requests only for twice this time before its weights change."""

VERSION_SHARE = 0.9
"""Part of the time for older weights that is used; a request takes time to begin."""


@dataclass(eq=False)
class Waiter:
    """A request that waits for a place."""

    place: Place
    admitted: Admitted
    excluded: frozenset[str]
    future: asyncio.Future[TargetRecord]


class Dispatcher:
    """Places requests on targets.

    Args:
        follower: This node's view of the fleet.
        board: What this node has seen of each target.
        get_time_s: Monotonic time.
        random_source: Breaks ties.
        version_s: Time after which no request begins on older weights.
    """

    def __init__(
        self,
        follower: Follower,
        board: TargetBoard,
        get_time_s: Callable[[], float],
        random_source: random.Random,
        version_s: float,
    ) -> None:
        self.follower = follower
        self.board = board
        self.get_time_s = get_time_s
        self.random = random_source
        self.version_s = version_s
        self.waiters: list[Waiter] = []
        self.by_service: dict[str, list[TargetRecord]] = {}
        self.windows: dict[str, SendWindow] = {}
        """What this node may have unread, by service."""
        follower.on_change.append(self.on_targets)
        follower.on_loads = self.pump

    def on_targets(self) -> None:
        """Take changed targets."""
        self.by_service = {}
        records = self.follower.targets.get_records()
        for record in records:
            if not record.is_leaving:
                self.by_service.setdefault(record.service, []).append(record)
        self.board.retain({record.target_id for record in records})
        self.pump()

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
        usable = [
            target
            for target in self.by_service.get(admitted.service, ())
            if target.target_id not in excluded
        ]
        if not usable:
            raise NoTargetError(f"{admitted.service} has no target")
        target = None if self.has_earlier(admitted) else self.place(admitted, excluded)
        if target is not None:
            return target
        return await self.wait(admitted, excluded, deadline_s)

    def has_earlier(self, admitted: Admitted) -> bool:
        """Whether a request of the service waits that goes before this one."""
        now_s = self.get_time_s()
        own = get_order(make_place(admitted), now_s)
        return any(
            waiter.admitted.service == admitted.service
            and get_order(waiter.place, now_s) < own
            for waiter in self.waiters
        )

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
        waiter = Waiter(
            make_place(admitted),
            admitted,
            excluded,
            asyncio.get_running_loop().create_future(),
        )
        self.waiters.append(waiter)
        try:
            # Not wait_for, which drops a cancellation that comes with the result.
            await asyncio.wait({waiter.future}, timeout=max(0.0, wait_s))
        except asyncio.CancelledError:
            if waiter.future.done():
                target = waiter.future.result()
                self.note_read(target, admitted, None)
                self.release(target, admitted)
            raise
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        if not waiter.future.done():
            raise OverloadedError(f"{admitted.service} is full")
        return waiter.future.result()

    def pump(self) -> None:
        """Place what waits, in order."""
        now_s = self.get_time_s()
        blocked: set[str] = set()
        for waiter in sorted(self.waiters, key=lambda w: get_order(w.place, now_s)):
            service = waiter.admitted.service
            if waiter.future.done() or service in blocked:
                continue
            if not self.fits_window(waiter.admitted):
                # Smaller prompts do not overtake, or large ones would never go.
                blocked.add(service)
                continue
            target = self.place(waiter.admitted, waiter.excluded)
            if target is not None:
                self.waiters.remove(waiter)
                waiter.future.set_result(target)

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
        window = self.get_window(target.service)
        window.end(id(admitted))
        if duration_s is not None and admitted.route.has_context:
            objective_s = admitted.route.objective_s
            window.note_read(tokens, duration_s, objective_s, self.get_time_s())

    def release(self, target: TargetRecord, admitted: Admitted) -> None:
        """Count a request out of a target."""
        self.board.end(target, admitted.facts.prompt_tokens)
        self.pump()

    def place(
        self, admitted: Admitted, excluded: frozenset[str]
    ) -> TargetRecord | None:
        """Choose a target that has a place and count the request there."""
        facts = admitted.facts
        if not self.fits_window(admitted):
            return None
        targets = [
            target
            for target in self.by_service.get(admitted.service, ())
            if target.target_id not in excluded and self.has_place(target, admitted)
        ]
        store = None
        if admitted.route.has_context:
            store = find_store(self.follower.configuration, facts.affinity_key)
        mean = self.get_mean_load(targets)
        candidates = [self.describe(t, admitted, store, mean) for t in targets]
        chosen = choose_target(
            candidates,
            facts.affinity_key if admitted.route.has_context else "",
            [self.random.random() for _ in candidates],
            self.follower.node_count,
        )
        if chosen is None:
            return None
        target = next(t for t in targets if t.target_id == chosen.target_id)
        self.board.begin(target, facts.prompt_tokens)
        self.get_window(admitted.service).begin(
            id(admitted),
            facts.prompt_tokens,
            admitted.route.objective_s,
            self.get_time_s(),
        )
        return target

    def has_place(self, target: TargetRecord, admitted: Admitted) -> bool:
        """Whether this node may send a target one more request."""
        seen = self.board.get(target.target_id)
        if seen.is_replaced or target.is_loading:
            # An engine that changes its weights rejects whatever comes.
            return False
        if self.is_expired(target, seen, admitted.facts.model):
            return False
        if target.is_retiring and (
            admitted.facts.output_tokens * seen.token_s > SHORT_S
        ):
            return False
        own = FleetLoad(seen.running, seen.running_tokens)
        others = self.follower.other_loads.get(target.target_id, NOTHING)
        configuration = self.follower.configuration
        service = configuration.services_by_name.get(target.service)
        room = service.engine.context_tokens if service and service.engine else None
        return has_room(
            own,
            others,
            admitted.facts.prompt_tokens,
            TargetRoom(target.slots, room),
            self.follower.node_count,
        )

    def get_transfer_s(
        self, target: TargetRecord, admitted: Admitted, store: StoreSize | None
    ) -> float:
        """Return the time to bring a request's shared context to a target."""
        tokens = admitted.facts.shared_tokens
        read_s = tokens / READ_TOKENS_PER_S
        if store is None or store.address not in self.follower.keepers:
            return read_s
        service = self.follower.configuration.services_by_name[target.service]
        if service.engine is None:
            return read_s
        transfer_s = tokens * service.engine.token_bytes / store.link_bytes_per_s
        if target.data_centre != store.data_centre:
            transfer_s *= REMOTE_COST
        return min(read_s, store.first_s + transfer_s)

    def get_mean_load(self, targets: list[TargetRecord]) -> float:
        """Return what the other nodes have at a target on average."""
        if not targets:
            return 0.0
        loads = self.follower.other_loads
        running = sum(loads.get(t.target_id, NOTHING).running for t in targets)
        return running / len(targets)

    def describe(
        self,
        target: TargetRecord,
        admitted: Admitted,
        store: StoreSize | None,
        mean: float,
    ) -> Candidate:
        """Return a target as the policy sees it."""
        seen = self.board.get(target.target_id)
        others = self.follower.other_loads.get(target.target_id, NOTHING)
        model = admitted.facts.model
        version = self.find_version(target, seen, model)
        named = self.follower.weights.get(model, 0)
        return Candidate(
            target.target_id,
            max(1, target.slots),
            seen.running + believe_others(others.running, mean, seen.service_s),
            seen.unread_tokens,
            seen.service_s,
            seen.failure_rate,
            seen.suspect_until_s > self.get_time_s(),
            self.board.is_doubtful(target),
            version is not None and version < named,
            target.data_centre != self.follower.node.data_centre,
            target.cold_s,
            self.get_transfer_s(target, admitted, store),
        )

    def is_expired(self, target: TargetRecord, seen: Seen, model: str) -> bool:
        """Whether a target's weights are older than may still begin a request."""
        named = self.follower.weights.get(model)
        if named is None:
            return False
        version = self.find_version(target, seen, model)
        if version is None or version >= named:
            return False
        limit_s = self.version_s * VERSION_SHARE
        return self.follower.get_weights_age_s(model) > limit_s

    def find_version(self, target: TargetRecord, seen: Seen, model: str) -> int | None:
        """Return the weight version of a target, if it is known."""
        told = target.versions.get(model)
        answered = (seen.versions or {}).get(model)
        if answered is not None:
            return max(told or 0, answered[0])
        return told


def make_place(admitted: Admitted) -> Place:
    """Return a request's claim to a place."""
    due_s = admitted.request.read_at_s + admitted.route.objective_s
    return Place(admitted.rank, due_s)
