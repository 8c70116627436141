"""The calls that the system itself makes to engines."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from ..errors import (
    MalformedAnswerError,
    TargetError,
    TargetRefusedError,
)
from ..fleet.messages import TargetRecord
from ..fleet.orders import (
    ACCEPTED,
    ALREADY,
    BUSY,
    OUTDATED_HOLDER,
    EngineReport,
    WeightOrder,
)
from ..fleet.stores import StoreEvent, StoreEvents, StoreListing
from ..transport.http_client import HttpClientPool
from ..transport.http_server import Headers
from .http_headers import EXPECT_INSTANCE

REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"
EVENTS_PATH = "/-/kv-events"
LISTING_PATH = "/-/kv-list"
FREE_PATH = "/-/kv-free"
WAIT_MS_HEADER = "wait-ms"
ADDED_SIGN = "+"

EVENTS_WAIT_MS = 1000
"""Time for which a store holds a call until something happens."""

EVENTS_TIMEOUT_S = 2.0
"""Time for such a call."""

SWITCH_MODE_WAIT = "wait"
"""Runs that have begun finish on the weights that they began on."""

REPORT_TIMEOUT_S = 0.6
"""Time for a report; it needs no slot."""

ORDER_TIMEOUT_S = 0.4
"""Time for an engine to take an order; it does not wait for its end."""

WireT = TypeVar("WireT")

JSON_HEADERS: Headers = [("content-type", "application/json")]

ORDER_RESULTS_BY_STATUS = {202: ACCEPTED, 200: ALREADY, 409: BUSY, 412: OUTDATED_HOLDER}


class WireModel(msgspec.Struct):
    """A model that an engine has loaded."""

    name: str
    version: int


class WireReport(msgspec.Struct):
    """An engine's state; some hundred milliseconds old."""

    sequence: int
    """Number of orders accepted."""
    busy: bool = False
    """Whether an order is in progress, not whether requests run."""
    models: list[WireModel] = []


class WireOrder(msgspec.Struct):
    """An order to load weights."""

    operation: str
    model: str
    version: int
    switch_mode: str
    holder: str
    fencing_token: int
    precondition: int
    """Number of orders that the engine must have accepted before."""


class WireEvents(msgspec.Struct):
    """What has happened at a store."""

    epoch: int
    next_token: int
    """Number of the next event, not a token of a prompt."""
    has_gap: bool
    events: list[tuple[int, str, str, str, int, str]]
    """Number, + or -, salt, part, tokens stored now, model."""
    clock_ms: int | None = None


class WireListing(msgspec.Struct):
    """All that a store has."""

    epoch: int
    next_token: int
    held_entries: list[tuple[str, str, int, str]]
    """Salt, part, tokens, model."""
    partial: list[tuple[str, str, int, int]] = []
    """Salt, part, tokens complete, tokens reserved."""


class WireFree(msgspec.Struct, omit_defaults=True):
    """Frees parts at once."""

    parts: list[tuple[str, str]]
    epoch: int
    until_ms: int | None = None


async def call_target(
    clients: HttpClientPool,
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = REPORT_TIMEOUT_S,
) -> bytes:
    """Call a target and return the body of a successful answer.

    Raises:
        TargetError: If the call fails.
    """
    answer = await clients.get(address).request(
        method,
        path,
        headers,
        body,
        first_byte_timeout_s=timeout_s,
        gap_timeout_s=timeout_s,
    )
    content = await answer.read()
    if answer.status >= 300:
        raise TargetRefusedError(f"{path}: status {answer.status}")
    return content


def decode_answer(content: bytes, wire_type: type[WireT]) -> WireT:
    """Read an answer.

    Raises:
        MalformedAnswerError: If it does not have the expected form.
    """
    try:
        return msgspec.json.decode_answer(content, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedAnswerError(str(error)) from error


class PlatformStoreClient:
    """Reads events and listings of stores, and frees parts."""

    def __init__(self) -> None:
        self.clients = HttpClientPool()

    def close(self) -> None:
        """Close the connections."""
        self.clients.close()

    async def read_events(self, address: str, since: int) -> StoreEvents:
        """Return what has happened, waiting up to a second.

        Raises:
            TargetError: If the store does not answer.
        """
        path = f"{EVENTS_PATH}?since={since}"
        headers = [(WAIT_MS_HEADER, str(EVENTS_WAIT_MS))]
        content = await call_target(
            self.clients, address, "GET", path, headers, timeout_s=EVENTS_TIMEOUT_S
        )
        wire = decode_answer(content, WireEvents)
        events = tuple(
            StoreEvent(sign == ADDED_SIGN, (salt, part), tokens)
            for _, sign, salt, part, tokens, _ in wire.events
        )
        return StoreEvents(
            wire.epoch, wire.next_token, wire.has_gap, events, wire.clock_ms
        )

    async def read_listing(self, address: str) -> StoreListing:
        """Return all that a store has.

        Raises:
            TargetError: If the store does not answer.
        """
        content = await call_target(
            self.clients, address, "GET", LISTING_PATH, [], timeout_s=EVENTS_TIMEOUT_S
        )
        wire = decode_answer(content, WireListing)
        held = tuple(((s, part), tokens) for s, part, tokens, _ in wire.held_entries)
        partial = tuple((salt, part) for salt, part, _, _ in wire.partial)
        return StoreListing(wire.epoch, wire.next_token, held, partial)

    async def free(
        self,
        address: str,
        names: list[tuple[str, str]],
        epoch: int,
        until_ms: int | None,
    ) -> None:
        """Free parts at once, unless the store restarted or it is too late.

        Raises:
            TargetError: If the store does not answer or refuses.
        """
        body = msgspec.json.encode(WireFree(names, epoch, until_ms))
        await call_target(self.clients, address, "POST", FREE_PATH, JSON_HEADERS, body)


class PlatformEngineClient:
    """Reads reports of engines and gives them orders."""

    def __init__(self) -> None:
        self.clients = HttpClientPool()

    def close(self) -> None:
        """Close the connections."""
        self.clients.close()

    async def read_report(self, target: TargetRecord) -> EngineReport:
        """Return an engine's state.

        Raises:
            TargetError: If it cannot be read.
        """
        headers = [(EXPECT_INSTANCE, target.target_id)]
        content = await call_target(
            self.clients, target.address, "GET", REPORT_PATH, headers
        )
        wire = decode_answer(content, WireReport)
        versions = {model.name: model.version for model in wire.models}
        return EngineReport(wire.sequence, wire.busy, versions)

    async def order_weights(self, target: TargetRecord, order: WeightOrder) -> str:
        """Order an engine to load weights and return its answer.

        Raises:
            TargetError: If it did not answer; it may carry the order out.
        """
        wire = WireOrder(
            "version",
            order.model,
            order.version,
            SWITCH_MODE_WAIT,
            order.holder,
            order.token,
            order.after_orders,
        )
        answer = await self.clients.get(target.address).request(
            "POST",
            ORDER_PATH,
            [*JSON_HEADERS, (EXPECT_INSTANCE, target.target_id)],
            msgspec.json.encode(wire),
            first_byte_timeout_s=ORDER_TIMEOUT_S,
            gap_timeout_s=ORDER_TIMEOUT_S,
            before_write=order.before_write,
        )
        await answer.read()
        result = ORDER_RESULTS_BY_STATUS.get(answer.status)
        if result is None:
            raise TargetError(f"order: status {answer.status}")
        return result
