"""Streams of targets that restarted with another build before this node knew it."""

from __future__ import annotations

import asyncio

import testtools
from msgspec.structs import replace

from laburnumpitch.errors import TargetError, TargetTimeoutError
from laburnumpitch.fleet.engine_client import EngineReport
from laburnumpitch.fleet.messages import TargetRecord
from laburnumpitch.relay.incarnation_check import (
    CONFIRMATION_VALIDITY_S,
    IncarnationCheck,
)

from .relay_case import BUILD, REQUEST_ID, PacedAnswer, RelayCase, make_answer

OTHER_BUILD = "v2"
EVENTS = [f"id: {number}\ndata: x\n\n".encode() for number in range(1, 4)]
PAUSE_S = 0.2


class RestartedTargetTest(RelayCase):
    """An announcement shows that the stream comes from another incarnation."""

    builds_on_record = {BUILD: True, OTHER_BUILD: True}

    scenarios = [
        ("another_build", {"build": OTHER_BUILD, "goes_on": False}),
        ("same_build", {"build": BUILD, "goes_on": True}),
    ]

    def announce_restart(self) -> None:
        """Announce the target anew."""
        table = self.fleet_view.targets
        record = table.entries["t0"].record
        table.put(replace(record, born_ms=2, build=self.build), 0.0)
        self.services.dispatcher.on_fleet_change()

    def test_stream(self) -> None:
        """Guards against a take-up at the build that the target had before.

        The stream had begun at the other build, and was known as the old one's.
        """
        length = sum(len(event) for event in EVENTS)
        whole = make_answer(body=b"", length=length) + EVENTS[0]
        answer = PacedAnswer((whole, *EVENTS[1:]), PAUSE_S)

        async def scenario() -> None:
            call = asyncio.create_task(self.send_request("resumed"))
            while REQUEST_ID not in self.stream_origins.known:
                await asyncio.sleep(0.01)
            self.announce_restart()
            if self.goes_on:
                status, _, body = await call
                self.assertEqual((200, b"".join(EVENTS)), (status, body))
            else:
                self.assertIsInstance(await self.catch(call), TargetError)
            status, _, _ = await self.send_request(
                "resumed", request_id="a2", resumes=REQUEST_ID, last_event_id="1"
            )
            self.assertEqual(not self.goes_on, status == 503)

        self.run_relay([[answer, make_answer(request_id="a2")]], scenario)

    async def catch(self, call: asyncio.Task) -> BaseException | None:
        """Return the error with which a call ends."""
        await asyncio.wait([call])
        return call.exception()


class IncarnationCheckTest(testtools.TestCase):
    """What an engine's report says of its start, and how long that counts."""

    target = TargetRecord("t0", "shop", "a0", "dc", 5, 1, 4, build=BUILD)

    scenarios = [
        ("same", {"born_ms": 5, "pause_s": 0.1, "is_confirmed": True}),
        ("restarted", {"born_ms": 6, "pause_s": 0.1, "is_confirmed": False}),
        ("not_said", {"born_ms": None, "pause_s": 0.1, "is_confirmed": False}),
        ("no_answer", {"born_ms": 0, "pause_s": 0.1, "is_confirmed": False}),
        (
            "suspended",
            {
                "born_ms": 5,
                "pause_s": CONFIRMATION_VALIDITY_S + 0.1,
                "is_confirmed": False,
            },
        ),
    ]

    def test_confirmation(self) -> None:
        """A request is sent only soon after the incarnation was confirmed."""
        self.now_s = 100.0

        async def read_report(target: TargetRecord) -> EngineReport:
            if self.born_ms == 0:
                raise TargetTimeoutError("no answer")
            return EngineReport(0, False, {}, self.born_ms)

        async def confirm() -> bool:
            check = IncarnationCheck(read_report, lambda: self.now_s)
            try:
                check_age = await check.confirm(self.target)
                self.now_s += self.pause_s
                check_age()
            except TargetError as error:
                self.assertFalse(error.sent)
                return False
            return True

        self.assertEqual(self.is_confirmed, asyncio.run(confirm()))
