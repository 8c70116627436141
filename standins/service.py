"""Stand-in plain service: runs orders without detecting duplicates.

Each run of an order appends one line to a journal file and syncs it, so that a test can
count the runs of each order whichever process was killed meanwhile.
"""

from __future__ import annotations

import asyncio
import os
import random

import msgspec

from laburnumpitch.membership.messages import TargetInfo, TargetLoad
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .announcer import Announcer, get_incarnation
from .command import make_target_parser, run_until_stopped, send_json


class Service:
    """The service's HTTP interface.

    Args:
        arguments: The command line.
    """

    def __init__(self, arguments) -> None:
        self.arguments = arguments
        self.incarnation = get_incarnation()
        self.random = random.Random(arguments.seed)
        self.running_requests = 0
        self.request_count = 0
        self.is_grace_over = False
        """Whether the journal marks orders as late: `--leave-s` after leaving began."""
        self.journal = open(arguments.journal, "a", buffering=1)

    def get_load(self) -> TargetLoad:
        """Return the current load."""
        return TargetLoad(
            self.arguments.id, self.incarnation, 0, running=self.running_requests
        )

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request."""
        self.running_requests += 1
        self.request_count += 1
        try:
            if request.path == "/v1/debug/state":
                await send_json(responder, 200, {"calls": self.request_count})
            elif request.method == "POST" and request.path == "/orders":
                await self.handle_order(request, responder)
            elif request.method == "GET" and request.path.startswith("/stock/"):
                await asyncio.sleep(self.arguments.work_s)
                item = request.path.removeprefix("/stock/")
                await send_json(responder, 200, {"item": item, "stock": len(item)})
            else:
                await send_json(responder, 404, {"reason": "no such path"})
        finally:
            self.running_requests -= 1

    async def handle_order(self, request: HttpRequest, responder: Responder) -> None:
        """Write an order to the journal, then answer after a random working time."""
        order = msgspec.json.decode(request.body)
        key = request.get_header("idempotency-key")
        organisation = request.get_header("x-organisation")
        timing = "late" if self.is_grace_over else "ok"
        self.journal.write(f"{key} {organisation} {self.arguments.id} {timing}\n")
        self.journal.flush()
        os.fsync(self.journal.fileno())
        jitter = self.random.uniform(0.5, 1.5)
        await asyncio.sleep(self.arguments.work_s * jitter)
        answer = {"key": key, "item": order["item"], "by": self.arguments.id}
        await send_json(responder, 201, answer)


async def serve(arguments) -> None:
    """Run the service until it is stopped."""
    service = Service(arguments)
    server = HttpServer("127.0.0.1", arguments.port, service.handle)
    await server.start()
    target = TargetInfo(
        arguments.id,
        "service",
        arguments.pool,
        arguments.advertise or f"127.0.0.1:{server.port}",
        arguments.data_centre,
        service.incarnation,
        slots=32,
    )
    announcer = Announcer(
        target,
        service.get_load,
        arguments.entries.split(","),
        arguments.announce_key,
        arguments.announce_interval_s,
    )
    announce_task = asyncio.create_task(announcer.run())

    async def drain() -> None:
        await announcer.announce_leaving()
        await asyncio.sleep(arguments.leave_s)
        service.is_grace_over = True
        while service.running_requests:
            await asyncio.sleep(0.02)

    await run_until_stopped(drain)
    announce_task.cancel()


def main() -> None:
    """Parse the command line and run the service."""
    parser = make_target_parser("Stand-in plain service.")
    parser.add_argument("--journal", required=True)
    parser.add_argument("--work-s", type=float, default=0.01)
    parser.add_argument("--leave-s", type=float, default=4.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
