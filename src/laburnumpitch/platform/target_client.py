"""The calls that the system itself makes to engines."""

from __future__ import annotations

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
from ..transport.http_client import HttpClientPool
from ..transport.http_server import Headers
from .http_headers import EXPECT_INSTANCE

REPORT = "/-/report"
ORDER = "/-/order"
SWITCH_WAIT = "wait"
"""Runs that have begun finish on the weights that they began on."""

REPORT_TIMEOUT_S = 0.6
"""Time for a report; it needs no slot."""

ORDER_TIMEOUT_S = 0.8
"""Time for an engine to take an order; it does not wait for its end."""

JSON: Headers = [("content-type", "application/json")]

ORDER_RESULTS = {202: ACCEPTED, 200: ALREADY, 409: BUSY, 412: OUTDATED_HOLDER}


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


class PlatformEngines:
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
        answer = await self.clients.get(target.address).request(
            "GET",
            REPORT,
            [(EXPECT_INSTANCE, target.target_id)],
            b"",
            first_byte_timeout_s=REPORT_TIMEOUT_S,
            gap_timeout_s=REPORT_TIMEOUT_S,
        )
        body = await answer.read()
        if answer.status != 200:
            raise TargetRefusedError(f"report: status {answer.status}")
        try:
            wire = msgspec.json.decode(body, type=WireReport)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise MalformedAnswerError(f"report: {error}") from error
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
            SWITCH_WAIT,
            order.holder,
            order.token,
            order.after_orders,
        )
        answer = await self.clients.get(target.address).request(
            "POST",
            ORDER,
            [*JSON, (EXPECT_INSTANCE, target.target_id)],
            msgspec.json.encode(wire),
            first_byte_timeout_s=ORDER_TIMEOUT_S,
            gap_timeout_s=ORDER_TIMEOUT_S,
            before_write=order.before_write,
        )
        await answer.read()
        result = ORDER_RESULTS.get(answer.status)
        if result is None:
            raise TargetError(f"order: status {answer.status}")
        return result
