"""Clients of the control interfaces of engines and stores."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from ..errors import (
    MalformedAnswerError,
    TargetError,
    TargetRefusedError,
)
from ..fleet.engine_client import (
    ACCEPTED,
    ALREADY_DONE,
    BUSY,
    OUTDATED_HOLDER,
    EngineReport,
    WeightOrder,
)
from ..fleet.messages import TargetRecord
from ..fleet.store_client import StoreEvent, StoreEvents, StoreListing
from ..transport.http_client import HttpClientPool
from ..transport.http_server import Headers
from .http_headers import (
    COLD_MS,
    EXPECT_INSTANCE,
    INSTANCE_ID,
    get_first_header,
    is_leaving,
    parse_cold_s,
)
from .wire_values import Count, Integer, TokenCount

REPORT_PATH = "/-/report"
ORDER_PATH = "/-/order"
EVENTS_PATH = "/-/kv-events"
LISTING_PATH = "/-/kv-list"
FREE_PATH = "/-/kv-free"

WAIT_MS_HEADER = "wait-ms"
"""Longest time that a store waits for an event before it answers."""

ADDED_SIGN = "+"
"""Marks the event of a piece that was added; `-` marks a removal."""

EVENTS_WAIT_MS = 1000
"""Long-polling time: how long a store waits for an event before it answers."""

EVENTS_TIMEOUT_S = 2.0
"""Timeout of reading events; longer than the long-polling time."""

LISTING_TIMEOUT_S = 4.0
"""Timeout of reading a listing, which may have thousands of pieces."""

MAX_LISTING_BYTES = 8 * 1024 * 1024
"""Maximum size of a listing or of events."""

MAX_STATE_BYTES = 256 * 1024
"""Maximum size of the answer to any other call."""

SWITCH_MODE_WAIT = "wait"
"""Switch mode in which runs in progress finish on the weights they began on."""

REPORT_TIMEOUT_S = 0.6
"""Timeout of a report, which needs no free slot, and of freeing pieces."""

ORDER_TIMEOUT_S = 0.4
"""Timeout of an order; the engine answers before it has carried it out."""

WireT = TypeVar("WireT")

JSON_HEADERS: Headers = [("content-type", "application/json")]

ORDER_RESULTS_BY_STATUS = {
    202: ACCEPTED,
    200: ALREADY_DONE,
    409: BUSY,
    412: OUTDATED_HOLDER,
}
"""Result of an order by the HTTP status of the engine's answer."""


class WireModel(msgspec.Struct):
    """A model and its weight version that an engine has loaded."""

    name: str
    version: Count


class WireReport(msgspec.Struct):
    """An engine's state, which may be a few hundred milliseconds old."""

    sequence: Count
    """Number of orders that the engine has accepted."""
    busy: bool = False
    """Whether an order is in progress; independent of running requests."""
    models: list[WireModel] = []
    born: Count | None = None
    """Wall time of the engine's start in ms."""


class WireOrder(msgspec.Struct):
    """An order to load weights."""

    operation: str
    """`version`, which loads a weight version."""
    model: str
    version: int
    switch_mode: str
    holder: str
    """Host of the node that gives the order."""
    fencing_token: int
    """The leader's term; a higher one is newer."""
    precondition: int
    """Number of orders that the engine must have accepted before this one."""


class WireEvents(msgspec.Struct):
    """Events of a store: pieces that were added or removed."""

    epoch: Integer
    """Changes at each restart of the store."""
    next_token: Count
    """Sequence number of the next event, not a token of a prompt."""
    has_gap: bool
    """Whether events were lost."""
    events: list[tuple[Integer, str, str, str, TokenCount, str]]
    """Sequence number, + or -, salt, piece, number of tokens stored now, model."""
    clock_ms: Count | None = None
    """The store's clock."""


class WireListing(msgspec.Struct):
    """All pieces in a store."""

    epoch: Integer
    next_token: Count
    """Sequence number of the next event, not a token of a prompt."""
    held_entries: list[tuple[str, str, TokenCount, str]]
    """Complete pieces: salt, piece, number of tokens, model."""
    partial: list[tuple[str, str, TokenCount, TokenCount]] = []
    """Incomplete pieces: salt, piece, tokens complete, tokens reserved."""


class WireFree(msgspec.Struct, omit_defaults=True):
    """Frees pieces of kept context immediately."""

    parts: list[tuple[str, str]]
    """Salt and identifier of each piece."""
    epoch: int
    """Epoch that the store must still have."""
    until_ms: int | None = None
    """Time on the store's clock after which it does not free them."""


async def call_target(
    clients: HttpClientPool,
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = REPORT_TIMEOUT_S,
    max_answer_bytes: int = MAX_STATE_BYTES,
    on_headers: Callable[[Headers], None] = lambda headers: None,
) -> bytes:
    """Call a target and return the body of a successful answer.

    `on_headers` is called with the headers of any answer.

    Raises:
        TargetError: If the call fails, or the answer's status is 300 or above.
    """
    answer = await clients.get(address).request(
        method,
        path,
        headers,
        body,
        first_byte_timeout_s=timeout_s,
        total_timeout_s=timeout_s,
        max_answer_bytes=max_answer_bytes,
    )
    on_headers(answer.headers)
    content = await answer.read()
    if answer.status >= 300:
        raise TargetRefusedError(f"{path}: status {answer.status}")
    return content


def decode_answer(content: bytes, wire_type: type[WireT]) -> WireT:
    """Decode the JSON body of an answer.

    Raises:
        MalformedAnswerError: If it is malformed or not of the given type.
    """
    try:
        return msgspec.json.decode(content, type=wire_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedAnswerError(str(error)) from error


class PlatformStoreClient:
    """Client of stores: reads their events and listings, and frees pieces."""

    def __init__(self) -> None:
        self.clients = HttpClientPool()

    def close(self) -> None:
        """Close the connections."""
        self.clients.close()

    async def read_events(self, address: str, since: int) -> StoreEvents:
        """Return the events from a sequence number on, waiting up to 1 s for one.

        Raises:
            TargetError: If the store does not answer.
        """
        path = f"{EVENTS_PATH}?since={since}"
        headers = [(WAIT_MS_HEADER, str(EVENTS_WAIT_MS))]
        content = await call_target(
            self.clients,
            address,
            "GET",
            path,
            headers,
            timeout_s=EVENTS_TIMEOUT_S,
            max_answer_bytes=MAX_LISTING_BYTES,
        )
        wire = decode_answer(content, WireEvents)
        events = tuple(
            StoreEvent(sign == ADDED_SIGN, (salt, piece), tokens)
            for _, sign, salt, piece, tokens, _ in wire.events
        )
        return StoreEvents(
            wire.epoch, wire.next_token, wire.has_gap, events, wire.clock_ms
        )

    async def read_listing(self, address: str) -> StoreListing:
        """Return all pieces in a store.

        Raises:
            TargetError: If the store does not answer.
        """
        content = await call_target(
            self.clients,
            address,
            "GET",
            LISTING_PATH,
            [],
            timeout_s=LISTING_TIMEOUT_S,
            max_answer_bytes=MAX_LISTING_BYTES,
        )
        wire = decode_answer(content, WireListing)
        held = tuple(((s, piece), tokens) for s, piece, tokens, _ in wire.held_entries)
        partial = tuple((salt, piece) for salt, piece, _, _ in wire.partial)
        return StoreListing(wire.epoch, wire.next_token, held, partial)

    async def free(
        self,
        address: str,
        names: list[tuple[str, str]],
        epoch: int,
        until_ms: int | None,
    ) -> None:
        """Free pieces immediately, unless the store has restarted or it is too late.

        Raises:
            TargetError: If the store does not answer or refuses.
        """
        body = msgspec.json.encode(WireFree(names, epoch, until_ms))
        await call_target(self.clients, address, "POST", FREE_PATH, JSON_HEADERS, body)


class PlatformEngineClient:
    """Client of engines: reads their reports and sends them orders."""

    def __init__(self) -> None:
        self.clients = HttpClientPool()
        self.on_leaving: Callable[[TargetRecord], None] = lambda target: None
        """Called with an engine that says in its answer that it is leaving."""
        self.on_cold: Callable[[TargetRecord, float], None] = (
            lambda target, cold_s: None
        )
        """Called with an engine that says in its answer how long it is cold."""

    def close(self) -> None:
        """Close the connections."""
        self.clients.close()

    async def read_report(self, target: TargetRecord) -> EngineReport:
        """Return an engine's state.

        Raises:
            TargetError: If the engine does not answer or the answer is malformed.
        """
        headers = [(EXPECT_INSTANCE, target.target_id)]
        content = await call_target(
            self.clients,
            target.address,
            "GET",
            REPORT_PATH,
            headers,
            on_headers=lambda headers: self.check_statements(target, headers),
        )
        wire = decode_answer(content, WireReport)
        versions = {model.name: model.version for model in wire.models}
        return EngineReport(wire.sequence, wire.busy, versions, wire.born)

    def check_statements(self, target: TargetRecord, headers: Headers) -> None:
        """Check whether an engine says in its answer that it is leaving, or cold."""
        if get_first_header(headers, INSTANCE_ID) not in ("", target.target_id):
            return
        if is_leaving(headers):
            self.on_leaving(target)
        cold_s = parse_cold_s(get_first_header(headers, COLD_MS))
        if cold_s is not None:
            self.on_cold(target, cold_s)

    async def order_weights(self, target: TargetRecord, order: WeightOrder) -> str:
        """Order an engine to load weights and return the result.

        Raises:
            TargetError: If the engine did not answer, or with an unknown status; it
                may still carry out the order.
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
            total_timeout_s=ORDER_TIMEOUT_S,
            max_answer_bytes=MAX_STATE_BYTES,
            # On a kept connection an earlier answer may come once more.
            max_idle_s=0.0,
            before_write=order.before_write,
        )
        self.check_statements(target, answer.headers)
        await answer.read()
        result = ORDER_RESULTS_BY_STATUS.get(answer.status)
        if result is None:
            raise TargetError(f"order answered with status {answer.status}")
        return result
