"""Stand-in weight store: each load slows down once more than two engines load."""

from __future__ import annotations

import argparse
import asyncio

from laburnumpitch.transport.http_server import HttpRequest, HttpServer, Responder

from .command import run_until_stopped, send_json

PROGRESS_STEP_S = 0.02
"""Interval at which a load's progress is updated for the current number of loads."""

MAX_FULL_RATE_LOADS = 2
"""Concurrent loads that run at full rate; more of them share the bandwidth of these."""


class WeightStore:
    """The weight store's HTTP interface.

    Args:
        load_s: Duration of a load while at most two engines load.
    """

    def __init__(self, load_s: float) -> None:
        self.load_s = load_s
        self.active_loads = 0
        self.max_active_loads = 0
        self.total_loads = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Return the counters, or answer any other path after a load's duration."""
        if request.path == "/v1/debug/state":
            state = {"most_loading": self.max_active_loads, "loads": self.total_loads}
            await send_json(responder, 200, state)
            return
        self.active_loads += 1
        self.total_loads += 1
        self.max_active_loads = max(self.max_active_loads, self.active_loads)
        try:
            completed_s = 0.0
            while completed_s < self.load_s:
                await asyncio.sleep(PROGRESS_STEP_S)
                completed_s += PROGRESS_STEP_S * min(
                    1.0, MAX_FULL_RATE_LOADS / self.active_loads
                )
            await send_json(responder, 200, {})
        finally:
            self.active_loads -= 1


async def serve(arguments) -> None:
    """Run the weight store until it is stopped."""
    store = WeightStore(arguments.load_s)
    server = HttpServer("127.0.0.1", arguments.port, store.handle)
    await server.start()

    async def stop() -> None:
        await server.close()

    await run_until_stopped(stop)


def main() -> None:
    """Parse the command line and run the weight store."""
    parser = argparse.ArgumentParser(description="Stand-in weight store.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--load-s", type=float, default=1.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
