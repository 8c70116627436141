"""Requests that ended without an answer, each for a reason that was found."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import h11
import testscenarios

from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.fleet.store_owners import list_managed_stores
from laburnumpitch.relay.configuration import (
    EngineSpec,
    Organisation,
    Service,
    StoreSpec,
)
from laburnumpitch.transport.codec import encode

from .relay_case import (
    API_KEY,
    CONFIGURATION,
    HOST,
    REQUEST_ID,
    SERVICE,
    RelayCase,
    make_answer,
)

OBS_TEXT = "caf\xe9"
"""A header value with a byte that is not ASCII, as HTTP allows."""


class RawClientCase(RelayCase):
    """Sends requests as bytes, and reads the answers as bytes."""

    async def exchange(
        self, route: str, method: str = "POST", headers: dict[str, str] | None = None
    ) -> bytes:
        """Send a request and return all that the relay sends before it closes."""
        reader, writer = await asyncio.open_connection(HOST, self.server.port)
        writer.write(self.make_request(route, method, headers or {}, "close"))
        try:
            return await reader.read()
        finally:
            writer.close()

    def make_request(
        self, route: str, method: str, headers: dict[str, str], connection: str
    ) -> bytes:
        """Return the bytes of a request."""
        all_headers = {
            "Host": HOST,
            "Attempt-Id": REQUEST_ID,
            "Authorization": f"Bearer {API_KEY}",
            "Deadline-Ms": "1500",
            "Content-Length": "4",
            "Connection": connection,
            **headers,
        }
        lines = [f"{name}: {value}" for name, value in all_headers.items()]
        head = "\r\n".join([f"{method} /{route}/x HTTP/1.1", *lines, "", ""])
        return head.encode("latin-1") + b"body"

    def assert_status(self, status: int, answer: bytes) -> None:
        """Check the status of an answer."""
        self.assertTrue(answer.startswith(f"HTTP/1.1 {status} ".encode()), answer)


class HeaderBytesTest(RawClientCase):
    """Header values with bytes that are not ASCII."""

    scenarios = [
        ("client", {"headers": {"X-Name": OBS_TEXT}, "extra": ""}),
        ("client_host", {"headers": {"Host": f"{HOST}:{OBS_TEXT}"}, "extra": ""}),
        ("target", {"headers": {}, "extra": f"X-Name: {OBS_TEXT}"}),
    ]

    def test_passed_on(self) -> None:
        """The request is answered, and both sides get the value's bytes unchanged."""
        answer = make_answer(extra=self.extra, encoding="latin-1")

        async def scenario() -> None:
            for route in ("once", "read", "stream"):
                received = await self.exchange(route, headers=self.headers)
                self.assert_status(200, received)
                sides = self.targets[0].requests[-1] + received
                self.assertIn(OBS_TEXT.encode("latin-1"), sides)

        self.run_relay([[answer] * 3], scenario)


class RefusalBytesTest(RawClientCase):
    """Refusals of requests whose headers are not ASCII."""

    def test_in_a_refusal(self) -> None:
        """A refusal names the attempt by the bytes of its identifier."""

        async def scenario() -> None:
            received = await self.exchange("nowhere", headers={"Attempt-Id": OBS_TEXT})
            self.assert_status(404, received)
            self.assertIn(OBS_TEXT.encode("latin-1"), received)

        self.run_relay([[]], scenario)


class OrganisationNameTest(RawClientCase):
    """Names of organisations that are not ASCII."""

    scenarios = [
        ("latin", {"name": "\xc5ker\xf6"}),
        ("wider", {"name": "\u5e97 7"}),
    ]

    def test_sent_as_utf8(self) -> None:
        """The target gets the name in the encoding of the configuration."""

        async def scenario() -> None:
            self.change_configuration(
                organisations=(Organisation(self.name, (API_KEY,), None, False),)
            )
            self.assert_status(200, await self.exchange("once"))
            line = f"tenant: {self.name}\r\n".encode()
            self.assertIn(line.lower(), self.targets[0].requests[0].lower())

        self.run_relay([[make_answer()]], scenario)


class BodilessAnswerTest(RawClientCase):
    """Answers that have no body by their status, or by the request's method."""

    scenarios = [
        ("head", {"script": make_answer(body=b"", length=5), "status": 200}),
        (
            "head_of_a_stream",
            {
                "route": "stream",
                "script": make_answer(body=b"", length=5),
                "status": 200,
            },
        ),
        ("head_of_an_error", {"script": make_answer(500, b""), "status": 500}),
        ("head_refused", {"route": "nowhere", "status": 404}),
        ("head_failed", {"script": b"\0\1\r\n\r\n", "status": 502}),
        ("empty", {"method": "GET", "script": make_answer(204, b""), "status": 204}),
        (
            "empty_stream",
            {
                "method": "GET",
                "route": "stream",
                "script": make_answer(204, b""),
                "status": 204,
            },
        ),
        (
            "unchanged",
            {"method": "GET", "script": make_answer(304, b"", length=5), "status": 304},
        ),
    ]
    method = "HEAD"
    route = "once"
    script = b""

    def test_connection_goes_on(self) -> None:
        """The client gets the status, no body, and the next answer after it."""
        scripts = [self.script, make_answer()] if self.script else [make_answer()]

        async def scenario() -> None:
            reader, writer = await asyncio.open_connection(HOST, self.server.port)
            writer.write(self.make_request(self.route, self.method, {}, "keep-alive"))
            self.assert_status(self.status, await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.make_request("once", "POST", {}, "close"))
            received = await reader.read()
            self.assert_status(200, received)
            self.assertTrue(received.endswith(b"whole"))
            writer.close()

        self.run_relay([scripts], scenario)


class OddAddressTest(RawClientCase):
    """Targets that announced an address to which nothing can connect."""

    scenarios = [
        ("port_out_of_range", {"address": f"{HOST}:70000"}),
        ("port_of_many_digits", {"address": f"{HOST}:{'9' * 5000}"}),
        ("no_port", {"address": HOST}),
        ("empty_label", {"address": "a..b:80"}),
        ("long_label", {"address": f"{'a' * 70}.b:80"}),
        ("null", {"address": f"{HOST}\0:80"}),
    ]

    def test_next_target_answers(self) -> None:
        """The request was not sent there, so another target may answer any request."""

        async def scenario() -> None:
            record = TargetRecord("t0", SERVICE, self.address, "dc", 1, 2, 4)
            self.services.fleet_view.targets.put(record, 0.0)
            self.change_configuration()
            for route in ("once", "stream"):
                self.assert_status(200, await self.exchange(route))

        self.run_relay([[], [make_answer()] * 2], scenario)


class EncodingSource:
    """A placement source that encodes each call, as for another node, and the loads.

    Args:
        statistics: The node's statistics, whose loads go to the leader.
    """

    def __init__(self, statistics) -> None:
        self.statistics = statistics

    async def request_placement(self, call) -> None:
        """Return no answer."""
        encode(call)
        loads = [encode(load) for load in self.statistics.get_loads().values()]
        assert all(loads)


class LargeNumberTest(RawClientCase):
    """Headers with numbers that no engine's memory or version reaches."""

    scenarios = [
        ("tokens", {"headers": {"Token-Usage": f"{'9' * 20},1"}}),
        ("output_tokens", {"headers": {"Token-Usage": f"1,{'9' * 20}"}}),
        ("tokens_of_many_digits", {"headers": {"Token-Usage": f"{'9' * 400},1"}}),
        ("piece", {"headers": {"Prefix-Hash": f"a:{'9' * 400},b:1"}}),
        ("target_version", {"extra": f"Weight-Versions: {'9' * 5000}"}),
    ]
    headers = {}
    extra = ""

    def test_target_decides(self) -> None:
        """The request is answered by its target, which gets the numbers unchanged."""

        async def scenario() -> None:
            dispatcher = self.services.dispatcher
            dispatcher.placement_source = EncodingSource(self.services.statistics)
            routes = [replace(r, has_context=True) for r in CONFIGURATION.routes]
            self.change_configuration(routes=tuple(routes))
            answers = await asyncio.gather(
                *(self.exchange("once", headers=self.headers) for _ in range(2))
            )
            for answer in answers:
                self.assert_status(200, answer)
            for value in self.headers.values():
                self.assertIn(value.encode(), self.targets[0].requests[0])

        answer = make_answer(extra=self.extra)
        self.run_relay([[answer, answer]], scenario)


class UnusableStoreTest(RawClientCase):
    """A configuration with a managed store that can hold or send nothing."""

    scenarios = [
        ("no_capacity", {"capacity_tokens": 0, "link_bytes_per_s": 1e9}),
        ("no_link", {"capacity_tokens": 1000, "link_bytes_per_s": 0.0}),
    ]

    def test_used_by_no_request(self) -> None:
        """Requests with kept context are answered, and the store needs no owner."""
        address = f"{HOST}:1"
        store = StoreSpec(
            address, "dc", self.capacity_tokens, self.link_bytes_per_s, 0.0, True
        )
        engine = EngineSpec(4, 10_000, 100, 1e9, ())

        async def scenario() -> None:
            fleet_view = self.services.fleet_view
            fleet_view.assignments[address] = HOST
            routes = [replace(r, has_context=True) for r in CONFIGURATION.routes]
            self.change_configuration(
                routes=tuple(routes),
                services=(Service(SERVICE, 0, engine), Service("kv", 0, None, store)),
            )
            headers = {"Prefix-Hash": "a:100,b:10", "Token-Usage": "110,5"}
            self.assert_status(200, await self.exchange("once", headers=headers))
            self.assertEqual([], list_managed_stores(fleet_view.configuration))

        self.run_relay([[make_answer()]], scenario)


class UnexpectedErrorTest(RawClientCase):
    """An error that no part of the relay expects."""

    scenarios = testscenarios.multiply_scenarios(
        [
            ("value", {"error": ValueError("x")}),
            ("key", {"error": KeyError("x")}),
            ("timeout", {"error": asyncio.TimeoutError()}),
            ("connection", {"error": ConnectionResetError("of another connection")}),
            ("protocol", {"error": h11.LocalProtocolError("x")}),
        ],
        [
            ("admission", {"part": "retry_limiter", "name": "record_request"}),
            ("placement", {"part": "dispatcher", "name": "make_place_call"}),
            ("sending", {"part": "translator", "name": "make_headers"}),
            ("answer", {"part": "translator", "name": "read_answer"}),
        ],
    )

    def test_answered_without_a_promise(self) -> None:
        """The client gets 502 for its attempt, and may go on to use its connection."""

        def fail(*arguments) -> None:
            raise self.error

        async def scenario() -> None:
            part = getattr(self.services, self.part)
            self.patch(part, self.name, fail)
            reader, writer = await asyncio.open_connection(HOST, self.server.port)
            writer.write(self.make_request("once", "POST", {}, "keep-alive"))
            head = await reader.readuntil(b"\r\n\r\n")
            self.assert_status(502, head)
            self.assertIn(f"attempt-id: {REQUEST_ID}".encode(), head)
            self.assertNotIn(b"retry-after", head)
            writer.write(self.make_request("nowhere", "POST", {}, "close"))
            self.assertIn(b"HTTP/1.1 404 ", await reader.read())
            writer.close()
            loads = self.services.statistics.get_loads()
            self.assertEqual({}, loads)

        self.run_relay([[make_answer()]], scenario)
