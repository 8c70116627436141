"""HTTP, answers of targets, messages between processes, and settings."""

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
TOKEN = b'{"id":"r1","offset":0,"text":"a "}\n'
END = b'{"id":"r1","tokens":1,"recomputed_tokens":0,"reused_tokens":0,'
END += b'"imported_bytes":0}\n'


def make_answer(body: bytes, length: int | None = None) -> bytes:
    """Return the bytes of an HTTP answer; a length cuts it short."""
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
    return (head + body)[:length]


async def ask_raw(answer: bytes, pause_s: float = 0.0, gap_s: float = 1.0) -> list:
    """Ask an engine that sends fixed bytes and closes, and return the items."""

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
        return [item async for item in engine.generate(REQUEST, gap_s)]
    finally:
        client.close()
        server.close()


class EngineAnswerTest(testtools.TestCase):
    """Answers that must not reach a caller as whole."""

    scenarios = [
        (
            "crossed",
            {
                "answer": make_answer(TOKEN.replace(b"r1", b"r2") + END),
                "error": MalformedAnswerError,
            },
        ),
        (
            "crossed_end",
            {
                "answer": make_answer(TOKEN + END.replace(b"r1", b"r2")),
                "error": MalformedAnswerError,
            },
        ),
        ("no_end_marker", {"answer": make_answer(TOKEN), "error": TargetError}),
        ("cut", {"answer": make_answer(TOKEN + END, 60), "error": TargetError}),
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
        """The failure is typed, and says that the request was sent."""
        with testtools.ExpectedException(self.error):
            asyncio.run(ask_raw(self.answer))

    def test_whole(self) -> None:
        """Tokens and end marker are a whole answer."""
        items = asyncio.run(ask_raw(make_answer(TOKEN + END)))
        self.assertIsInstance(items[-1], RunEnd)
        self.assertEqual(2, len(items))

    def test_silence(self) -> None:
        """An engine that says nothing is a timeout."""
        with testtools.ExpectedException(TargetTimeoutError):
            asyncio.run(ask_raw(b"", pause_s=0.5, gap_s=0.1))

    def test_refused_connection_was_not_sent(self) -> None:
        """Without a connection nothing was sent."""

        async def ask() -> None:
            engine = HttpEngine(HttpClient("127.0.0.1:1"))
            async for _ in engine.generate(REQUEST, 1.0):
                pass

        with testtools.ExpectedException(TargetError):
            try:
                asyncio.run(ask())
            except TargetError as error:
                self.assertFalse(error.sent)
                raise


class HttpServerTest(testtools.TestCase):
    """Bounds of the server towards callers."""

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

    def test_refusal(self) -> None:
        """What cannot be read is refused with a status, and the connection ends."""

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
    """Messages between processes."""

    def test_round_trip(self) -> None:
        """A message comes back as it was."""
        node = NodeInfo("n", 1, "a", "b", "c")
        self.assertEqual(node, decode(encode(node)))

    def test_malformed(self) -> None:
        """Bytes that are no message are a typed error."""
        good = encode(Flag(1))
        for data in (b"", good[:-1], b"\x00" * 9, good.replace(b"Flag", b"Flug")):
            self.assertRaises(CodecError, decode, data)

    def test_errors_have_codes(self) -> None:
        """Every error class has a code of its own."""
        classes = get_error_classes()
        self.assertIs(RpcTimeoutError, classes["rpc_timeout"])
        self.assertGreater(len(classes), 30)


class QuotaTest(testtools.TestCase):
    """Tokens of an organisation's rate."""

    scenarios = [
        ("slow", {"rate": 5.0, "step_s": 0.05}),
        ("fast", {"rate": 400.0, "step_s": 0.01}),
        ("odd", {"rate": 33.3, "step_s": 0.037}),
    ]

    def test_rate(self) -> None:
        """Over any 10 s at most 5% over the rate; 95% of it is usable; a new
        leader grants nothing twice.
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
    """Charts in data files."""

    scenarios = [
        ("request", {"chart": "request"}),
        ("target", {"chart": "target"}),
    ]

    def test_chart(self) -> None:
        """Every state is reachable, every event leads to a state."""
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
    """Settings that are wrong."""

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

    def test_one_line(self) -> None:
        """The error is one line that names flag and bound, with exit code 2."""
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            error = self.assertRaises(SystemExit, main, ["check", *self.flags])
        self.assertEqual(2, error.code)
        self.assertEqual(1, len(errors.getvalue().splitlines()))
        for word in [self.flags[0], *self.words]:
            self.assertIn(word, errors.getvalue())

    def test_help(self) -> None:
        """Every setting is in the help, with its variable."""
        namespace = make_parser().parse_args(["check"])
        text = namespace.parser.format_help()
        for setting in NODE_SETTINGS:
            self.assertIn(f"--{setting.flag}", text)
            self.assertIn(setting.env_variable, text)
