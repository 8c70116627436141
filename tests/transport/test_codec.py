"""Messages that cannot be encoded, and answers to requests that have them."""

from __future__ import annotations

import asyncio
import threading

import testtools
import zmq.asyncio

from laburnumpitch.errors import CodecError
from laburnumpitch.fleet.messages import (
    Depart,
    FleetLoad,
    PutWeights,
    TargetRecord,
    TargetUnreachable,
)
from laburnumpitch.transport.codec import encode
from laburnumpitch.transport.rpc import RpcClient, RpcServer

TIMEOUT_S = 15.0
"""Timeout of a call; far longer than an answer takes."""


def make_record(**changes) -> TargetRecord:
    """Return a target's record with changed fields."""
    fields = {
        "target_id": "t",
        "service": "s",
        "address": "1.2.3.4:5",
        "data_centre": "dc",
        "born_ms": 1,
        "sequence": 1,
        "slots": 4,
    }
    return TargetRecord(**(fields | changes))


class EncodeTest(testtools.TestCase):
    """Values that the encoding has no form for."""

    scenarios = [
        ("above_64_bits", {"message": PutWeights("m", 2**64)}),
        ("400_digits", {"message": FleetLoad(1, 10**400)}),
        ("below_64_bits", {"message": make_record(sequence=-(2**63) - 1)}),
        ("in_a_table", {"message": make_record(versions={"m": 2**70})}),
        ("lone_surrogate", {"message": Depart("\ud800")}),
        ("other_type", {"message": Depart(object())}),
    ]

    def test_typed_error(self) -> None:
        """Each raises CodecError, which callers of other processes handle."""
        self.assertRaises(CodecError, encode, self.message)


class RpcTest(testtools.TestCase):
    """Calls between two processes with such values."""

    def run_call(self, handler, request) -> object:
        """Call a server whose handler is given; return the answer or the error."""

        async def run() -> object:
            context = zmq.asyncio.Context()
            server = RpcServer(context, "127.0.0.1", 0)
            server.on(Depart, handler)
            server.on(TargetUnreachable, self.answer_done)
            await server.start()
            client = RpcClient(context, f"127.0.0.1:{server.port}")
            try:
                try:
                    result = await client.call(request, TIMEOUT_S)
                except Exception as error:
                    result = error
                await client.call(TargetUnreachable("t"), TIMEOUT_S)
                self.assertEqual({}, client.pending_requests)
                return result
            finally:
                client.close()
                await server.close()
                context.term()

        return asyncio.run(run())

    async def answer_done(self, request) -> None:
        """Answer that a request was handled."""

    async def answer_odd(self, request) -> FleetLoad:
        """Answer with what cannot be encoded."""
        return FleetLoad(1, 2**70)

    def test_answer(self) -> None:
        """The caller gets the error at once, rather than no answer."""
        self.assertIsInstance(self.run_call(self.answer_odd, Depart("t")), CodecError)

    def test_request(self) -> None:
        """The caller gets the error, and the connection still works."""
        request = Depart("\ud800")
        self.assertIsInstance(self.run_call(self.answer_done, request), CodecError)


class InvalidAddressTest(testtools.TestCase):
    """A client whose address cannot be connected to."""

    def test_context_ends(self) -> None:
        """Guards against a socket left open, for which a stopping process waits."""
        context = zmq.Context()

        async def make_client() -> None:
            RpcClient(context, "")

        self.assertRaises(zmq.ZMQError, asyncio.run, make_client())
        thread = threading.Thread(target=context.term, daemon=True)
        thread.start()
        thread.join(TIMEOUT_S)
        self.assertFalse(thread.is_alive())
