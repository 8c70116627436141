"""Stand-in load balancer of the platform: round robin over the ready entries.

A request is retried at another entry only if it has certainly not run: it could not be
sent, or the entry refused it as not run.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools

from laburnumpitch.errors import LaburnumpitchError, TargetError
from laburnumpitch.transport.http_client import HOP_BY_HOP_HEADERS, HttpClient
from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .command import JSON_TYPE, run_until_stopped, send_json

READINESS_INTERVAL_S = 0.2
READINESS_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 120.0
"""Time to the first byte of an entry's answer."""

MAX_ATTEMPTS = 6


class Balancer:
    """Forwards HTTP requests to the entries.

    Args:
        entries: `host:port` of the entries.
    """

    def __init__(self, entries: list[str]) -> None:
        self.clients = [HttpClient(entry) for entry in entries]
        self.readiness = {client.address: True for client in self.clients}
        self.request_numbers = itertools.count()

    async def poll_readiness(self, client: HttpClient) -> None:
        """Poll one entry's readiness until cancelled."""
        while True:
            try:
                answer = await client.request(
                    "GET", "/readyz", [], b"", first_byte_timeout_s=READINESS_TIMEOUT_S
                )
                await answer.read()
                self.readiness[client.address] = answer.status == 200
            except LaburnumpitchError:
                self.readiness[client.address] = False
            await asyncio.sleep(READINESS_INTERVAL_S)

    def choose_entry(self, tried_addresses: set[str]) -> HttpClient:
        """Return the next entry in round robin.

        Untried ready entries are preferred, then ready ones, then any.
        """
        ready_clients = [c for c in self.clients if self.readiness[c.address]]
        untried_clients = [c for c in ready_clients if c.address not in tried_addresses]
        candidates = untried_clients or ready_clients or self.clients
        return candidates[next(self.request_numbers) % len(candidates)]

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Forward one request, with retries while it has certainly not run.

        Raises:
            ConnectionError: If the connection to the entry failed after the request was
                sent or its answer started.
        """
        tried_addresses: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            client = self.choose_entry(tried_addresses)
            tried_addresses.add(client.address)
            try:
                if await self.forward(client, request, responder):
                    return
            except TargetError as error:
                if responder.has_started or error.sent:
                    raise ConnectionError("connection to the entry failed") from error
            await asyncio.sleep(0.1 * attempt)
        await send_json(responder, 503, {"error": {"code": "balancer", "run": "?"}})

    async def forward(
        self, client: HttpClient, request: HttpRequest, responder: Responder
    ) -> bool:
        """Forward a request to one entry; return False if it refused it as not run."""
        path = f"{request.path}?{request.query}" if request.query else request.path
        answer = await client.request(
            request.method,
            path,
            request.headers,
            request.body,
            first_byte_timeout_s=ANSWER_TIMEOUT_S,
            max_idle_s=0.0,
        )
        try:
            if answer.status == 503:
                body = b"".join([part async for part in answer.iterate_body()])
                if b'"run":"not_run"' in body:
                    return False
                await responder.send(503, [JSON_TYPE], body)
                return True
            headers = [
                item for item in answer.headers if item[0] not in HOP_BY_HOP_HEADERS
            ]
            await responder.start(answer.status, headers)
            async for part in answer.iterate_body():
                await responder.write(part)
            await responder.finish()
            return True
        finally:
            answer.close()


async def serve(arguments) -> None:
    """Run the balancer until it is stopped."""
    balancer = Balancer(arguments.entries.split(","))
    server = HttpServer("127.0.0.1", arguments.port, balancer.handle)
    readiness_tasks = [
        asyncio.create_task(balancer.poll_readiness(c)) for c in balancer.clients
    ]
    await server.start()
    await run_until_stopped(server.close)
    for task in readiness_tasks:
        task.cancel()


def main() -> None:
    """Parse the command line and run the balancer."""
    parser = argparse.ArgumentParser(description="Stand-in balancer.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--entries", required=True)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
