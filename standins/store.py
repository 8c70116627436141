"""Stand-in KV store: memory and disk tiers behind a link of limited bandwidth.

It serves the bytes that it has for a piece and generation, even of a block that is only
partly written: the system under test must not read such a block.
"""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass

import msgspec

from laburnumpitch.membership.messages import TargetInfo, TargetLoad
from laburnumpitch.targets.protocols import StoredBlock, StoreListing
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .announcer import Announcer, get_incarnation
from .command import make_target_parser, parse_query, run_until_stopped, send_json
from .link import Link

DISK_LATENCY_S = 0.01
"""Added latency of a read from disk and of a move between the tiers."""

BLOCKS_PATH = "/v1/blocks"


@dataclass
class Block:
    """The data stored for a piece."""

    generation: int
    data: bytes
    tier: str = "writing"
    """`memory` or `disk` once committed, `writing` before."""
    checksum: str = ""


class Store:
    """The store's HTTP interface.

    Args:
        arguments: The command line.
    """

    def __init__(self, arguments) -> None:
        self.arguments = arguments
        self.link = Link(arguments.link_bytes_per_s)
        self.blocks: dict[str, Block] = {}
        self.incarnation = get_incarnation()
        self.reads = 0
        self.missed_reads = 0

    def get_used_bytes(self, tier: str) -> int:
        """Return the bytes used in a tier; uncommitted blocks count as memory."""
        tiers = ("memory", "writing") if tier == "memory" else ("disk",)
        return sum(
            len(block.data) for block in self.blocks.values() if block.tier in tiers
        )

    def get_load(self) -> TargetLoad:
        """Return the current load, which is empty: a store reports none."""
        return TargetLoad(self.arguments.id, self.incarnation, 0)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request."""
        piece, _, action = request.path.removeprefix(BLOCKS_PATH + "/").partition("/")
        if request.path == BLOCKS_PATH:
            await send_json(responder, 200, self.get_listing())
        elif request.path == "/v1/debug/link":
            self.link.bytes_per_s = msgspec.json.decode(request.body)["bytes_per_s"]
            await send_json(responder, 200, {})
        elif request.path == "/v1/debug/state":
            await send_json(responder, 200, self.get_counters())
        elif request.method == "PUT":
            await self.put(piece, request, responder)
        elif request.method == "GET":
            await self.get(piece, request, responder)
        elif request.method == "DELETE":
            await self.free(piece, request, responder)
        elif action == "commit":
            await self.commit(piece, request, responder)
        elif action == "move":
            await self.move(piece, request, responder)
        else:
            await send_json(responder, 404, {})

    def get_listing(self) -> StoreListing:
        """Return the tiers' capacities and all blocks."""
        blocks = [
            StoredBlock(
                piece, block.generation, len(block.data), block.checksum, block.tier
            )
            for piece, block in self.blocks.items()
        ]
        return StoreListing(
            self.incarnation,
            self.arguments.memory_bytes,
            self.arguments.disk_bytes,
            blocks,
        )

    def get_counters(self) -> dict:
        """Return counters for tests and benchmarks."""
        return {
            "carried_bytes": self.link.transferred_bytes,
            "busy_s": self.link.busy_s,
            "blocks": len(self.blocks),
            "memory_used": self.get_used_bytes("memory"),
            "disk_used": self.get_used_bytes("disk"),
            "reads": self.reads,
            "missed_reads": self.missed_reads,
        }

    async def put(self, piece: str, request: HttpRequest, responder: Responder) -> None:
        """Write a block into memory chunk by chunk; it stays uncommitted.

        Sends 507 if the block does not fit into the memory tier.
        """
        generation = int(parse_query(request)["generation"])
        free_bytes = self.arguments.memory_bytes - self.get_used_bytes("memory")
        if len(request.body) > free_bytes:
            await send_json(responder, 507, {})
            return
        block = Block(generation, b"")
        self.blocks[piece] = block
        async for chunk in self.link.transfer(request.body):
            block.data += chunk
        await send_json(responder, 200, {})

    def find_block(self, piece: str, generation: int) -> Block | None:
        """Return a piece's block if it has the given generation."""
        block = self.blocks.get(piece)
        return block if block is not None and block.generation == generation else None

    async def get(self, piece: str, request: HttpRequest, responder: Responder) -> None:
        """Send the bytes that a block has at present, complete or not."""
        block = self.find_block(piece, int(parse_query(request)["generation"]))
        self.reads += 1
        if block is None:
            self.missed_reads += 1
            await send_json(responder, 404, {})
            return
        if block.tier == "disk":
            await asyncio.sleep(DISK_LATENCY_S)
        await responder.start(200, [("content-type", "application/octet-stream")])
        async for chunk in self.link.transfer(block.data):
            await responder.write(chunk)
        await responder.finish()

    async def commit(
        self, piece: str, request: HttpRequest, responder: Responder
    ) -> None:
        """Commit a block to memory if its length and checksum match; else send 409."""
        body = msgspec.json.decode(request.body)
        block = self.find_block(piece, body["generation"])
        is_complete = (
            block is not None
            and len(block.data) == body["length"]
            and hashlib.sha256(block.data).hexdigest() == body["checksum"]
        )
        if is_complete:
            block.tier = "memory"
            block.checksum = body["checksum"]
        await send_json(responder, 200 if is_complete else 409, {})

    async def move(
        self, piece: str, request: HttpRequest, responder: Responder
    ) -> None:
        """Move a block to another tier if it fits there; else send 409."""
        body = msgspec.json.decode(request.body)
        block = self.find_block(piece, body["generation"])
        capacity_bytes = getattr(self.arguments, f"{body['tier']}_bytes")
        has_capacity = (
            block is not None
            and self.get_used_bytes(body["tier"]) + len(block.data) <= capacity_bytes
        )
        if has_capacity:
            await asyncio.sleep(DISK_LATENCY_S)
            block.tier = body["tier"]
        await send_json(responder, 200 if has_capacity else 409, {})

    async def free(
        self, piece: str, request: HttpRequest, responder: Responder
    ) -> None:
        """Delete a piece's block if it has the given generation."""
        block = self.find_block(piece, int(parse_query(request)["generation"]))
        if block is not None:
            del self.blocks[piece]
        await send_json(responder, 200 if block is not None else 404, {})


async def serve(arguments) -> None:
    """Run the store until it is stopped."""
    store = Store(arguments)
    server = HttpServer("127.0.0.1", arguments.port, store.handle)
    await server.start()
    target = TargetInfo(
        arguments.id,
        "store",
        arguments.pool,
        arguments.advertise or f"127.0.0.1:{server.port}",
        arguments.data_centre,
        store.incarnation,
        slots=64,
        link_bytes_per_s=arguments.link_bytes_per_s,
    )
    announcer = Announcer(
        target,
        store.get_load,
        arguments.entries.split(","),
        arguments.announce_key,
        arguments.announce_interval_s,
    )
    announce_task = asyncio.create_task(announcer.run())
    await run_until_stopped(announcer.announce_leaving)
    announce_task.cancel()


def main() -> None:
    """Parse the command line and run the store."""
    parser = make_target_parser("Stand-in KV store.")
    parser.add_argument("--memory-bytes", type=int, default=64 * 1024 * 1024)
    parser.add_argument("--disk-bytes", type=int, default=256 * 1024 * 1024)
    parser.add_argument("--link-bytes-per-s", type=float, default=50e6)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
