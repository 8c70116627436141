"""Stand-in model engine: continuous batching, prefix cache, import and export of KV."""

from __future__ import annotations

import asyncio
import hashlib
import heapq
import itertools
import os
import random
import time
from dataclasses import dataclass, field

import msgspec

from laburnumpitch.errors import LaburnumpitchError
from laburnumpitch.membership.messages import TargetInfo, TargetLoad
from laburnumpitch.targets.protocols import (
    BlockRef,
    EngineState,
    ExportedBlock,
    Fence,
    GenerateRequest,
    LinkSample,
    RunEnd,
    TokenChunk,
)
from laburnumpitch.transport.http_client import HttpClientPool
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .announcer import Announcer, get_incarnation
from .command import make_target_parser, parse_query, run_until_stopped, send_json
from .engine_cache import EngineCache
from .kv import (
    compute_initial_digest,
    extend_digest,
    make_block,
    make_token,
    parse_block,
)

CRASH_MARKER = "CRASH-ENGINE"
"""A prompt with this text ends the engine's process before the first token."""

CRASH_IN_STREAM_MARKER = "CRASH-IN-STREAM"
"""A prompt with this text ends the engine's process while it streams tokens."""

TOKENS_BEFORE_CRASH = 2
"""Tokens that a run with `CRASH_IN_STREAM_MARKER` streams first."""

TRANSFER_TIMEOUT_S = 60.0
"""Time to the first byte of a store's answer."""

WEIGHT_LOAD_TIMEOUT_S = 120.0
"""Time to the first byte of the weight store's answer, which ends a load."""

CHARS_PER_TOKEN = 4
"""Characters that stand for one token of a prompt."""


@dataclass
class Usage:
    """Tokens prefilled and reused, and bytes imported, by one run or by all of them."""

    recomputed_tokens: int = 0
    reused_tokens: int = 0
    imported_bytes: int = 0
    link_samples: list[LinkSample] = field(default_factory=list)


class BatchSlots:
    """Slots of the batch, assigned by priority and then in order of arrival.

    Args:
        count: Maximum number of requests in the batch.
    """

    def __init__(self, count: int) -> None:
        self.free_count = count
        self.waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self.arrival_numbers = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; the lowest number of the waiting priorities goes first."""
        if self.free_count and not self.waiters:
            self.free_count -= 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (priority, next(self.arrival_numbers), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Hand a slot to the first waiter, or mark it as free."""
        while self.waiters:
            _, _, future = heapq.heappop(self.waiters)
            if not future.done():
                future.set_result(None)
                return
        self.free_count += 1


class Engine:
    """The engine's HTTP interface.

    Args:
        arguments: The command line.
    """

    def __init__(self, arguments) -> None:
        self.arguments = arguments
        self.incarnation = get_incarnation()
        self.random = random.Random(arguments.seed)
        self.cache = EngineCache(
            arguments.cache_pieces,
            self.incarnation,
            arguments.event_delay_s,
            arguments.event_gap_share,
            self.random,
        )
        self.slots = BatchSlots(arguments.slots)
        self.prefill_lock = asyncio.Lock()
        self.http = HttpClientPool()
        self.served_version = arguments.weight_version
        self.is_loading = False
        self.fence = Fence(0, 0)
        self.received_orders: list[dict] = []
        self.request_tasks: dict[str, asyncio.Task] = {}
        """Tasks of the queued and running requests, by request id."""
        self.queued_requests = 0
        self.pending_prefill_tokens = 0
        """Tokens in uncached pieces of the requests that are queued or in prefill."""
        self.late_requests = 0
        """Requests that arrived more than `--late-after-s` after leaving began."""
        self.total_usage = Usage()
        self.completed_runs = 0
        self.leave_started_s = float("inf")

    def get_load(self) -> TargetLoad:
        """Return the load; its pending tokens are rounded down to a multiple of 256."""
        return TargetLoad(
            self.arguments.id,
            self.incarnation,
            0,
            running=len(self.request_tasks) - self.queued_requests,
            queued=self.queued_requests,
            queued_prefill_tokens=self.pending_prefill_tokens // 256 * 256,
            weight_version=self.served_version,
            is_loading=self.is_loading,
        )

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request."""
        path = request.path
        if path == "/v1/generate":
            await self.generate(request, responder)
        elif path == "/v1/cancel":
            self.cancel(msgspec.json.decode(request.body)["request_id"])
            await send_json(responder, 200, {})
        elif path == "/v1/events":
            query = parse_query(request)
            events = await self.cache.get_events(
                int(query["after"]), float(query["wait_s"])
            )
            await send_json(responder, 200, events)
        elif path == "/v1/cache":
            await send_json(responder, 200, self.cache.get_snapshot())
        elif path == "/v1/kv/export":
            await self.export_piece(request, responder)
        elif path == "/v1/orders":
            await self.handle_order(request, responder)
        elif path == "/v1/state":
            await send_json(responder, 200, self.get_state())
        elif path == "/v1/debug/state":
            await send_json(responder, 200, self.get_counters())
        else:
            await send_json(responder, 404, {})

    def get_state(self) -> EngineState:
        """Return the weight version served, the load state and the newest fence."""
        return EngineState(
            self.incarnation, self.served_version, self.is_loading, self.fence
        )

    def get_counters(self) -> dict:
        """Return counters for tests and benchmarks."""
        return {
            "orders": self.received_orders,
            "runs": self.completed_runs,
            "late_requests": self.late_requests,
            "recomputed_tokens": self.total_usage.recomputed_tokens,
            "reused_tokens": self.total_usage.reused_tokens,
            "imported_bytes": self.total_usage.imported_bytes,
            "cached_pieces": len(self.cache.prefix_digests),
        }

    async def generate(self, request: HttpRequest, responder: Responder) -> None:
        """Run a prompt; refuse it with 409 if the engine does not serve its weights."""
        run = msgspec.json.decode(request.body, type=GenerateRequest)
        if self.is_loading or run.weight_version != self.served_version:
            await send_json(responder, 409, {"reason": "weight_version"})
            return
        if self.leave_started_s + self.arguments.late_after_s < time.monotonic():
            self.late_requests += 1
        self.request_tasks[run.request_id] = asyncio.current_task()
        try:
            await self.execute(run, responder)
        finally:
            self.request_tasks.pop(run.request_id, None)

    def cancel(self, request_id: str) -> None:
        """Cancel a queued or running request, if it is known."""
        task = self.request_tasks.get(request_id)
        if task is not None:
            task.cancel()

    async def execute(self, run: GenerateRequest, responder: Responder) -> None:
        """Wait for a slot, build the prompt's context and stream the answer."""
        prompt_tokens = -(-len(run.prompt) // CHARS_PER_TOKEN)
        missing_pieces = sum(
            piece not in self.cache.prefix_digests for piece in run.pieces
        )
        pending_tokens = missing_pieces * run.piece_chars // CHARS_PER_TOKEN
        self.queued_requests += 1
        self.pending_prefill_tokens += pending_tokens
        is_queued = True
        try:
            await self.slots.acquire(run.priority)
            self.queued_requests -= 1
            is_queued = False
            try:
                usage = Usage()
                context_digest = await self.build_context(run, prompt_tokens, usage)
                self.pending_prefill_tokens -= pending_tokens
                pending_tokens = 0
                if CRASH_MARKER in run.prompt:
                    os._exit(1)
                await self.stream_tokens(run, context_digest, usage, responder)
                self.completed_runs += 1
            finally:
                self.slots.release()
        finally:
            self.queued_requests -= int(is_queued)
            self.pending_prefill_tokens -= pending_tokens

    async def build_context(
        self, run: GenerateRequest, prompt_tokens: int, usage: Usage
    ) -> bytes:
        """Reuse, import or prefill each piece, and return the context's digest.

        All pieces of the prompt are in the cache afterwards, as far as they fit.
        """
        imported = await self.import_blocks(run, usage)
        piece_tokens = run.piece_chars // CHARS_PER_TOKEN
        prefix_digest = compute_initial_digest(
            run.organisation, run.model, run.weight_version, run.adapter
        )
        for index, piece in enumerate(run.pieces):
            reusable = self.cache.get(piece)
            if reusable is None and piece in imported:
                reusable = imported[piece]
            if reusable is not None:
                usage.reused_tokens += piece_tokens
                prefix_digest = reusable
            else:
                start = index * run.piece_chars
                text = run.prompt[start : start + run.piece_chars]
                await self.prefill(piece_tokens, usage)
                prefix_digest = extend_digest(prefix_digest, text)
            self.cache.put(piece, prefix_digest)
        remainder = run.prompt[len(run.pieces) * run.piece_chars :]
        await self.prefill(prompt_tokens - len(run.pieces) * piece_tokens, usage)
        return extend_digest(prefix_digest, remainder)

    async def prefill(self, tokens: int, usage: Usage) -> None:
        """Prefill tokens; prefills of several requests run one after the other."""
        usage.recomputed_tokens += tokens
        async with self.prefill_lock:
            await asyncio.sleep(tokens / self.arguments.prefill_tokens_per_s)

    async def import_blocks(
        self, run: GenerateRequest, usage: Usage
    ) -> dict[str, bytes]:
        """Read the uncached blocks of a run from stores, within its import time-out.

        Returns the digests by piece, and records the links' transfer rates in `usage`.
        """
        refs = [
            ref for ref in run.imports if ref.piece not in self.cache.prefix_digests
        ]
        if not refs:
            return {}
        tasks = [asyncio.create_task(self.fetch_timed(ref)) for ref in refs]
        started_s = time.monotonic()
        done, timed_out = await asyncio.wait(tasks, timeout=run.import_timeout_s)
        for task in timed_out:
            task.cancel()
        imported = {}
        link_samples: dict[str, LinkSample] = {}
        for ref, task in zip(refs, tasks):
            data, ended_s = task.result() if task in done else (None, time.monotonic())
            sample = link_samples.get(ref.store_id, LinkSample(ref.store_id, 0, 0.0))
            total_bytes = sample.sent_bytes + (len(data) if data is not None else 0)
            duration_s = max(sample.duration_s, ended_s - started_s)
            link_samples[ref.store_id] = LinkSample(
                ref.store_id, total_bytes, duration_s
            )
            if data is not None:
                imported[ref.piece] = parse_block(data)
                usage.imported_bytes += len(data)
        usage.link_samples = list(link_samples.values())
        return imported

    async def fetch_timed(self, ref: BlockRef) -> tuple[bytes | None, float]:
        """Read a block and return it with the time at which the read ended."""
        data = await self.fetch_block(ref)
        return data, time.monotonic()

    async def fetch_block(self, ref: BlockRef) -> bytes | None:
        """Read a block from its store; return None if its length or checksum differs.

        An unreachable store gives None, too.
        """
        client = self.http.get(ref.store_address)
        path = f"/v1/blocks/{ref.piece}?generation={ref.generation}"
        try:
            answer = await client.request(
                "GET", path, [], b"", first_byte_timeout_s=TRANSFER_TIMEOUT_S
            )
            data = await answer.read()
        except LaburnumpitchError:
            return None
        is_complete = answer.status == 200 and len(data) == ref.length
        checksum = hashlib.sha256(data).hexdigest()
        return data if is_complete and checksum == ref.checksum else None

    async def stream_tokens(
        self,
        run: GenerateRequest,
        context_digest: bytes,
        usage: Usage,
        responder: Responder,
    ) -> None:
        """Stream the tokens from the requested offset on, and the end marker."""
        await responder.start(200, [("content-type", "application/x-ndjson")])
        for index in range(run.offset, run.max_tokens):
            await asyncio.sleep(self.arguments.token_s)
            if (
                CRASH_IN_STREAM_MARKER in run.prompt
                and index == run.offset + TOKENS_BEFORE_CRASH
            ):
                os._exit(1)
            chunk = TokenChunk(run.request_id, index, make_token(context_digest, index))
            await responder.write(msgspec.json.encode(chunk) + b"\n")
        end = RunEnd(
            run.request_id,
            run.max_tokens,
            usage.recomputed_tokens,
            usage.reused_tokens,
            usage.imported_bytes,
            usage.link_samples,
        )
        self.total_usage.recomputed_tokens += usage.recomputed_tokens
        self.total_usage.reused_tokens += usage.reused_tokens
        self.total_usage.imported_bytes += usage.imported_bytes
        await responder.write(msgspec.json.encode(end) + b"\n")
        await responder.finish()

    async def export_piece(self, request: HttpRequest, responder: Responder) -> None:
        """Write a cached piece to a store and answer with its length and checksum."""
        body = msgspec.json.decode(request.body)
        prefix_digest = self.cache.prefix_digests.get(body["piece"])
        if prefix_digest is None:
            await send_json(responder, 404, {})
            return
        data = make_block(prefix_digest, self.arguments.block_bytes)
        path = f"/v1/blocks/{body['piece']}?generation={body['generation']}"
        try:
            answer = await self.http.get(body["store"]).request(
                "PUT", path, [], data, first_byte_timeout_s=TRANSFER_TIMEOUT_S
            )
            await answer.read()
        except LaburnumpitchError:
            await send_json(responder, 502, {})
            return
        if answer.status != 200:
            await send_json(responder, 502, {})
            return
        checksum = hashlib.sha256(data).hexdigest()
        await send_json(responder, 200, ExportedBlock(len(data), checksum))

    async def handle_order(self, request: HttpRequest, responder: Responder) -> None:
        """Start the load that an order asks for.

        An order whose fence is not newer than the last one is refused with 409, unless
        the engine was started with `--ignore-fences`.
        """
        body = msgspec.json.decode(request.body)
        fence = msgspec.convert(body["fence"], Fence)
        is_stale = (fence.term, fence.index) <= (self.fence.term, self.fence.index)
        is_refused = is_stale and not self.arguments.ignore_fences
        self.received_orders.append(
            {
                "version": body["version"],
                "term": fence.term,
                "index": fence.index,
                "is_refused": is_refused,
                "time_s": time.time(),
            }
        )
        if is_refused:
            await send_json(responder, 409, {})
            return
        self.fence = fence
        asyncio.create_task(self.load_weights(body["version"]))
        await send_json(responder, 200, {})

    async def load_weights(self, version: str) -> None:
        """Load a weight version; runs in flight continue with their own version."""
        self.is_loading = True
        try:
            if self.arguments.weight_store:
                answer = await self.http.get(self.arguments.weight_store).request(
                    "GET",
                    f"/v1/weights/{version}",
                    [],
                    b"",
                    first_byte_timeout_s=WEIGHT_LOAD_TIMEOUT_S,
                )
                await answer.read()
            self.served_version = version
        except LaburnumpitchError:
            pass
        finally:
            self.is_loading = False


async def serve(arguments) -> None:
    """Run the engine until it is stopped."""
    engine = Engine(arguments)
    server = HttpServer("127.0.0.1", arguments.port, engine.handle)
    await server.start()
    piece_tokens = arguments.piece_tokens
    target = TargetInfo(
        arguments.id,
        "engine",
        arguments.pool,
        arguments.advertise or f"127.0.0.1:{server.port}",
        arguments.data_centre,
        engine.incarnation,
        checks_fence=not arguments.ignore_fences,
        slots=arguments.slots,
        prefill_tokens_per_s=arguments.prefill_tokens_per_s,
        kv_bytes_per_token=arguments.block_bytes // piece_tokens,
        build=arguments.build,
    )
    announcer = Announcer(
        target,
        engine.get_load,
        arguments.entries.split(","),
        arguments.announce_key,
        arguments.announce_interval_s,
    )
    announce_task = asyncio.create_task(announcer.run())

    async def drain() -> None:
        engine.leave_started_s = time.monotonic()
        await announcer.announce_leaving()
        await asyncio.sleep(arguments.leave_s)
        while engine.request_tasks:
            await asyncio.sleep(0.02)
        print(f"late_requests={engine.late_requests}", flush=True)

    await run_until_stopped(drain)
    announce_task.cancel()


def main() -> None:
    """Parse the command line and run the engine."""
    parser = make_target_parser("Stand-in model engine.")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=20000)
    parser.add_argument("--token-s", type=float, default=0.005)
    parser.add_argument("--cache-pieces", type=int, default=64)
    parser.add_argument("--piece-tokens", type=int, default=256)
    parser.add_argument("--block-bytes", type=int, default=65536)
    parser.add_argument("--weight-version", default="v1")
    parser.add_argument("--weight-store", default="")
    parser.add_argument("--build", default="")
    parser.add_argument("--event-delay-s", type=float, default=0.1)
    parser.add_argument("--event-gap-share", type=float, default=0.02)
    parser.add_argument("--ignore-fences", action="store_true")
    parser.add_argument("--leave-s", type=float, default=5.0)
    parser.add_argument("--late-after-s", type=float, default=3.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
