"""TCP proxy with links that can delay, throttle, drop and truncate data."""

from __future__ import annotations

import asyncio
import random
import threading
from dataclasses import dataclass, field

from .ports import release_ports, reserve_port

READ_BYTES = 16 * 1024
"""Maximum size of a block of data, which is read, delayed and forwarded as a whole."""


@dataclass
class LinkFaults:
    """Faults of a link; they can change while its connections are open."""

    delay_s: float = 0.0
    """Delay of each block of data, in both directions."""
    jitter_s: float = 0.0
    """Upper bound of a random extra delay, so that connections overtake each other."""
    bytes_per_s: float = float("inf")
    """Bandwidth of each connection, in each direction."""
    refuse: bool = False
    """Whether new connections are closed at once."""
    is_cut_forward: bool = False
    """Whether data from the client is dropped silently."""
    is_cut_backward: bool = False
    """Whether data to the client is dropped silently."""
    truncate_after: int | None = None
    """Bytes to the client before a connection is closed; no limit if None."""
    drop_answers: int = 0
    """Number of next connections that are closed when an answer arrives."""


@dataclass
class Link:
    """A listening port that forwards to an upstream address."""

    name: str
    upstream: str
    port: int
    faults: LinkFaults = field(default_factory=LinkFaults)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    forwarded_bytes: int = 0

    @property
    def address(self) -> str:
        """Address to which clients connect."""
        return f"127.0.0.1:{self.port}"


class FaultProxy:
    """Runs links on an event loop in its own thread.

    Args:
        seed: Seed of the random delays.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.links: dict[str, Link] = {}
        self.servers: list[asyncio.Server] = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start the thread of the event loop."""
        self.thread.start()

    def close(self) -> None:
        """End all connections, stop the thread and release the ports."""
        self.run_on_loop(self.cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()
        release_ports(link.port for link in self.links.values())

    async def cancel_all(self) -> None:
        """Close the listeners and cancel every connection."""
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for server in self.servers:
            server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def run_on_loop(self, coroutine):
        """Run a coroutine on the proxy's loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def add_link(self, name: str, upstream: str) -> Link:
        """Add a link in front of an address."""
        link = Link(name, upstream, reserve_port())
        self.links[name] = link
        self.run_on_loop(self.listen(link))
        return link

    async def listen(self, link: Link) -> None:
        """Listen on a link's port."""

        async def accept(reader, writer) -> None:
            await self.serve_connection(link, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", link.port, backlog=512)
        self.servers.append(server)

    async def serve_connection(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until it ends."""
        host, _, port = link.upstream.rpartition(":")
        upstream_writer = None
        try:
            if link.faults.refuse:
                return
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            link.writers |= {writer, upstream_writer}
            forward = self.forward_stream(
                link, reader, upstream_writer, is_forward=True
            )
            backward = self.forward_stream(
                link, upstream_reader, writer, is_forward=False
            )
            await asyncio.gather(forward, backward)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, upstream_writer):
                if end is not None:
                    link.writers.discard(end)
                    end.close()

    async def forward_stream(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_forward: bool,
    ) -> None:
        """Forward one direction of a connection under the link's faults."""
        sent_bytes = 0
        while data := await reader.read(READ_BYTES):
            faults = link.faults
            delay_s = faults.delay_s + self.random.random() * faults.jitter_s
            delay_s += len(data) / faults.bytes_per_s
            if delay_s:
                await asyncio.sleep(delay_s)
            if faults.is_cut_forward if is_forward else faults.is_cut_backward:
                continue
            if not is_forward:
                data = self.apply_answer_faults(link, data, sent_bytes)
            link.forwarded_bytes += len(data)
            sent_bytes += len(data)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def apply_answer_faults(self, link: Link, data: bytes, sent_bytes: int) -> bytes:
        """Return data to the client unless the link drops or truncates the answer.

        Raises:
            ConnectionError: If the connection must be closed.
        """
        faults = link.faults
        if faults.drop_answers > 0:
            faults.drop_answers -= 1
            raise ConnectionError("answer dropped by the fault proxy")
        if faults.truncate_after is not None and sent_bytes + len(data) > (
            faults.truncate_after
        ):
            raise ConnectionError("answer truncated by the fault proxy")
        return data

    def set_faults(self, name: str, **values) -> None:
        """Set some of a link's faults."""

        async def apply() -> None:
            for key, value in values.items():
                setattr(self.links[name].faults, key, value)

        self.run_on_loop(apply())

    def cut(self, name: str) -> None:
        """Drop all data of a link silently; its connections stay open."""
        self.set_faults(name, is_cut_forward=True, is_cut_backward=True)

    def heal(self, name: str) -> None:
        """Remove a link's faults and reset its connections, as data may be lost."""
        self.links[name].faults = LinkFaults()
        self.reset(name)

    def reset(self, name: str) -> None:
        """Reset all connections of a link."""

        async def abort() -> None:
            for writer in list(self.links[name].writers):
                writer.transport.abort()

        self.run_on_loop(abort())

    def heal_all(self) -> None:
        """Remove the faults of every link and reset their connections."""
        for name in self.links:
            self.heal(name)
