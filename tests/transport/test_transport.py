"""HTTP server, answers of engines, message codec, quotas, charts and settings."""

from __future__ import annotations

import asyncio
import contextlib
import io

import testtools

from laburnumpitch.cli import main, make_parser
from laburnumpitch.control.quota import BURST_S, QuotaTable
from laburnumpitch.errors import (
    CodecError,
    MalformedAnswerError,
    RpcTimeoutError,
    TargetError,
    TargetTimeoutError,
    TransitionError,
    get_error_classes,
)
from laburnumpitch.membership.messages import Flag, NodeInfo
from laburnumpitch.settings import NODE_SETTINGS
from laburnumpitch.statechart import StateMachine, load_chart
from laburnumpitch.targets.http_engine import HttpEngine
from laburnumpitch.targets.protocols import GenerateRequest, RunEnd
from laburnumpitch.transport.codec import decode, encode
from laburnumpitch.transport.http_client import HttpClient
from laburnumpitch.transport.http_server import HttpServer

REQUEST = GenerateRequest("r1", "o", "m", "v", "", 5, "prompt", 64, [], [], 2)
TOKEN_LINE = b'{"id":"r1","offset":0,"text":"a "}\n'
END_LINE = b'{"id":"r1","tokens":1,"recomputed_tokens":0,"reused_tokens":0,'
END_LINE += b'"imported_bytes":0}\n'


def make_answer(body: bytes, length: int | None = None) -> bytes:
    """Return the bytes of an HTTP answer, truncated to a length if one is given."""
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
    return (head + body)[:length]


async def generate_from_raw_answer(
    answer: bytes, pause_s: float = 0.0, timeout_s: float = 1.0
) -> list:
    """Generate with an engine that sends fixed bytes and closes; return the items."""

    async def serve(reader, writer) -> None:
        await reader.read(65536)
        writer.write(answer)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(pause_s)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpClient(f"127.0.0.1:{port}")
    engine = HttpEngine(client)
    try:
        return [item async for item in engine.generate(REQUEST, timeout_s)]
    finally:
        client.close()
        server.close()


class EngineAnswerTest(testtools.TestCase):
    """Answers that must not reach a client as complete."""

    scenarios = [
        (
            "crossed",
            {
                "answer": make_answer(TOKEN_LINE.replace(b"r1", b"r2") + END_LINE),
                "error": MalformedAnswerError,
            },
        ),
        (
            "crossed_end",
            {
                "answer": make_answer(TOKEN_LINE + END_LINE.replace(b"r1", b"r2")),
                "error": MalformedAnswerError,
            },
        ),
        ("no_end_marker", {"answer": make_answer(TOKEN_LINE), "error": TargetError}),
        (
            "cut",
            {"answer": make_answer(TOKEN_LINE + END_LINE, 60), "error": TargetError},
        ),
        ("empty", {"answer": b"", "error": TargetError}),
        ("not_http", {"answer": b"nonsense\r\n\r\n", "error": MalformedAnswerError}),
        (
            "not_json",
            {"answer": make_answer(b"nonsense\n"), "error": MalformedAnswerError},
        ),
        (
            "long_line",
            {
                "answer": make_answer(b"x" * (1024 * 1024 + 65536)),
                "error": MalformedAnswerError,
            },
        ),
    ]

    def test_error(self) -> None:
        """A malformed or truncated answer raises a typed error."""
        with testtools.ExpectedException(self.error):
            asyncio.run(generate_from_raw_answer(self.answer))

    def test_complete(self) -> None:
        """Tokens and the end marker make a complete answer."""
        items = asyncio.run(
            generate_from_raw_answer(make_answer(TOKEN_LINE + END_LINE))
        )
        self.assertIsInstance(items[-1], RunEnd)
        self.assertEqual(2, len(items))

    def test_timeout(self) -> None:
        """An engine that sends nothing raises a timeout error."""
        with testtools.ExpectedException(TargetTimeoutError):
            asyncio.run(generate_from_raw_answer(b"", pause_s=0.5, timeout_s=0.1))

    def test_refused_connection_was_not_sent(self) -> None:
        """The error of a refused connection states that nothing was sent."""

        async def generate() -> None:
            engine = HttpEngine(HttpClient("127.0.0.1:1"))
            async for _ in engine.generate(REQUEST, 1.0):
                pass

        with testtools.ExpectedException(TargetError):
            try:
                asyncio.run(generate())
            except TargetError as error:
                self.assertFalse(error.sent)
                raise


class HttpServerTest(testtools.TestCase):
    """Requests that the server rejects."""

    scenarios = [
        (
            "long_header",
            {"data": b"GET / HTTP/1.1\r\nx: " + b"a" * 20000, "status": 431},
        ),
        ("nonsense", {"data": b"\x00\x01\r\n\r\n", "status": 400}),
        (
            "large_body",
            {
                "data": b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n\r\n"
                + b"a" * 9_000_000,
                "status": 413,
            },
        ),
    ]

    def test_rejection(self) -> None:
        """An unreadable request is answered with an error status."""

        async def scenario() -> bytes:
            async def handle(request, responder) -> None:
                await responder.send(200, [], b"")

            server = HttpServer("127.0.0.1", 0, handle)
            await server.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(self.data)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            answer = await reader.readline()
            writer.close()
            await server.close()
            return answer

        self.assertIn(str(self.status).encode(), asyncio.run(scenario()))


class CodecTest(testtools.TestCase):
    """Encoding of messages between processes."""

    def test_round_trip(self) -> None:
        """A decoded message equals the encoded one."""
        node = NodeInfo("n", 1, "a", "b", "c")
        self.assertEqual(node, decode(encode(node)))

    def test_malformed(self) -> None:
        """Decoding bytes that are not a message raises a typed error."""
        good = encode(Flag(1))
        for data in (b"", good[:-1], b"\x00" * 9, good.replace(b"Flag", b"Flug")):
            self.assertRaises(CodecError, decode, data)

    def test_errors_have_codes(self) -> None:
        """Error classes are found by their codes."""
        classes = get_error_classes()
        self.assertIs(RpcTimeoutError, classes["rpc_timeout"])
        self.assertGreater(len(classes), 30)


class QuotaTest(testtools.TestCase):
    """Requests granted to an organisation within its rate."""

    scenarios = [
        ("slow", {"rate": 5.0, "step_s": 0.05}),
        ("fast", {"rate": 400.0, "step_s": 0.01}),
        ("odd", {"rate": 33.3, "step_s": 0.037}),
    ]

    def test_rate(self) -> None:
        """Grants exceed the rate by at most 5% over any 10 s, and reach 95% of it.

        A new leader, which starts with an empty table, grants nothing twice.
        """
        table = QuotaTable(term_started_at_s=0.0)
        now_s = 0.0
        grants = []
        while now_s < 40:
            now_s += self.step_s
            if 20 <= now_s < 20 + self.step_s:
                table = QuotaTable(term_started_at_s=now_s)
            granted = table.grant("o", self.rate, 1000, now_s)
            grants.append((now_s, granted))
        for start_s, _ in grants:
            window = sum(n for at_s, n in grants if start_s <= at_s < start_s + 10)
            bound = max(self.rate * 10 * 1.05, self.rate * 10 + 1)
            self.assertLessEqual(window, bound + 1e-6)
        total = sum(granted for _, granted in grants)
        self.assertGreaterEqual(total, self.rate * 40 * 0.95)
        self.assertLess(BURST_S, 0.5)


class StateChartTest(testtools.TestCase):
    """State charts loaded from data files."""

    scenarios = [
        ("request", {"chart": "request"}),
        ("target", {"chart": "target"}),
    ]

    def test_chart(self) -> None:
        """Every state is reachable, and every transition leads to a known state."""
        chart = load_chart(self.chart)
        reached = {chart.initial_state}
        for _ in chart.transitions:
            reached |= {
                following
                for (state, _), following in chart.transitions.items()
                if state in reached
            }
        named = {state for state, _ in chart.transitions} | chart.final_states
        self.assertEqual(named, reached)
        machine = StateMachine(chart)
        self.assertRaises(TransitionError, machine.fire, "no such event")


class SettingsTest(testtools.TestCase):
    """Invalid settings, and the help of the settings."""

    scenarios = [
        ("port", {"flags": ["--http-port", "99999"], "words": ["HTTP_PORT", "65535"]}),
        ("number", {"flags": ["--drain-grace-s", "-1"], "words": ["0 to 600"]}),
        ("address", {"flags": ["--advertise-rpc", "host:1"], "words": ["IPv4"]}),
        ("roles", {"flags": ["--roles", "king"], "words": ["entry"]}),
        ("policy", {"flags": ["--policy", "best"], "words": ["least_loaded"]}),
        ("peers", {"flags": ["--control-peers", "a"], "words": ["NAME=IP:PORT"]}),
        (
            "not_a_peer",
            {"flags": ["--control-peers", "a=1.2.3.4:5"], "words": ["node-1"]},
        ),
        ("unknown", {"flags": ["--colour", "red"], "words": ["--colour"]}),
    ]

    def test_error_message(self) -> None:
        """The error is one line that names the flag and its bounds; exit code 2."""
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            error = self.assertRaises(SystemExit, main, ["check", *self.flags])
        self.assertEqual(2, error.code)
        self.assertEqual(1, len(errors.getvalue().splitlines()))
        for word in [self.flags[0], *self.words]:
            self.assertIn(word, errors.getvalue())

    def test_help(self) -> None:
        """The help lists every setting's flag and environment variable."""
        namespace = make_parser().parse_args(["check"])
        text = namespace.parser.format_help()
        for setting in NODE_SETTINGS:
            self.assertIn(f"--{setting.flag}", text)
            self.assertIn(setting.env_variable, text)
