"""Command-line flags, JSON helpers and graceful stop, shared by the stand-ins."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import msgspec

from laburnumpitch.transport.http_server import HttpRequest, Responder

JSON_TYPE = ("content-type", "application/json")


def make_target_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the flags that all stand-in targets have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--id", required=True)
    parser.add_argument("--pool", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--advertise", default="")
    parser.add_argument("--entries", required=True, help="host:port,…")
    parser.add_argument("--data-centre", default="local")
    parser.add_argument("--announce-key", default="")
    parser.add_argument("--announce-interval-s", type=float, default=0.25)
    parser.add_argument("--seed", type=int, default=1)
    return parser


async def send_json(responder: Responder, status: int, body: object) -> None:
    """Send an answer with a JSON body."""
    await responder.send(status, [JSON_TYPE], msgspec.json.encode(body))


def parse_query(request: HttpRequest) -> dict[str, str]:
    """Return the fields of a request's query string, not percent-decoded."""
    pairs = [part.partition("=") for part in request.query.split("&") if part]
    return {key: value for key, _, value in pairs}


async def run_until_stopped(on_stop: Callable[[], Awaitable[None]]) -> None:
    """Wait for SIGTERM, run `on_stop`, and exit the process."""
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    await stop_requested.wait()
    await on_stop()
    os._exit(0)
