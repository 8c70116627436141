"""`laburnumpitch evacuate`: orders or withdraws the evacuation of a data centre."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import time
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from .errors import ControlUnavailableError, LaburnumpitchError, TargetError
from .platform.evacuation_calls import EVACUATIONS_PATH
from .transport.http_client import HttpClient

CALL_TIMEOUT_S = 1.0
"""Time for a node to answer before the call is sent to the next one."""

RETRY_INTERVAL_S = 0.1
"""Pause before a call is sent again."""

TEMPORARY_STATUSES = frozenset((408, 429))
"""Statuses below 500 after which the call is sent again."""


def add_evacuate_command(commands: Any) -> None:
    """Add the command to the program's parser."""
    parser = commands.add_parser(
        "evacuate", help="send no more requests to the targets of a data centre"
    )
    parser.add_argument("data_centre", metavar="DATA_CENTRE", help="its name")
    parser.add_argument(
        "--control",
        metavar="HOST:PORT",
        action="append",
        required=True,
        help="control address of a node; given again: others to try",
    )
    parser.add_argument(
        "--withdraw", action="store_true", help="send requests to them again"
    )
    parser.add_argument(
        "--timeout-s", type=float, default=5.0, help="time for all attempts, seconds"
    )
    parser.set_defaults(run=run_evacuate, parser=parser)


def run_evacuate(namespace: argparse.Namespace) -> int:
    """Send the call until it is acknowledged and return the exit code.

    Raises:
        LaburnumpitchError: If it is refused, or not acknowledged in time.
    """
    method = "DELETE" if namespace.withdraw else "POST"
    path = EVACUATIONS_PATH + quote(namespace.data_centre, safe="")
    answer = asyncio.run(
        send_until_answered(namespace.control, method, path, namespace.timeout_s)
    )
    state = "in service" if namespace.withdraw else "evacuated"
    print(f"{namespace.data_centre}: {state} {answer}")
    return 0


async def send_until_answered(
    addresses: Sequence[str], method: str, path: str, timeout_s: float
) -> str:
    """Send a call to nodes in turn until one answers it; return the answer's body.

    Raises:
        LaburnumpitchError: If it is refused.
        ControlUnavailableError: If no node acknowledges it in time; the change may be
            in force or not.
    """
    deadline_s = time.monotonic() + timeout_s
    last_failure = "no attempt"
    for address in itertools.cycle(addresses):
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise ControlUnavailableError(f"not acknowledged: {last_failure}")
        try:
            status, body = await send(
                address, method, path, min(CALL_TIMEOUT_S, remaining_s)
            )
        except TargetError as error:
            last_failure = f"{address}: {error.detail}"
        else:
            if status == 200:
                return body
            last_failure = f"{address}: {status} {body}"
            if status < 500 and status not in TEMPORARY_STATUSES:
                raise LaburnumpitchError(last_failure)
        await asyncio.sleep(RETRY_INTERVAL_S)
    raise AssertionError("unreachable")


async def send(
    address: str, method: str, path: str, timeout_s: float
) -> tuple[int, str]:
    """Send a call to one node and return status and body of its answer.

    Raises:
        TargetError: If it does not answer in time.
    """
    client = HttpClient(address)
    try:
        answer = await client.request(
            method, path, [], b"", first_byte_timeout_s=timeout_s
        )
        return answer.status, (await answer.read()).decode(errors="replace")
    finally:
        client.close()
