"""`laburnumpitch explain`: tells where a request would go now, and why."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from .errors import LaburnumpitchError, MalformedRequestError, SettingsError
from .settings import Setting, add_settings, check_settings, parse_address
from .transport.http_client import HttpClient

EXPLAIN_PATH = "/-/explain"
API_KEY_VARIABLE = "LABURNUMPITCH_API_KEY"
"""Environment variable with the caller's API key. There is no flag for it, since other
users of the machine can read a command's arguments."""

CALL_TIMEOUT_S = 5.0
"""Timeout of the call to the node, which asks a coordinator for each service."""

EXPLAIN_SETTINGS = (
    Setting("control", "127.0.0.1:8000", parse_address, "IP:PORT of a node's control"),
)
"""Settings of `laburnumpitch explain`."""


def read_api_key(path: str) -> str:
    """Return the API key from a file, `-` for standard input, or the environment."""
    if path == "-":
        return sys.stdin.readline().strip()
    if path:
        return Path(path).read_text().strip()
    return os.environ.get(API_KEY_VARIABLE, "")


def make_question(namespace: argparse.Namespace) -> dict[str, Any]:
    """Return the question as the node's control interface takes it."""
    question = {
        "method": namespace.method,
        "host": namespace.host,
        "path": namespace.path,
        "api_key": read_api_key(namespace.api_key_file),
        "model": namespace.model,
        "pieces": namespace.pieces,
        "output_tokens": namespace.output_tokens,
        "request_id": namespace.request_id,
    }
    if namespace.prompt_tokens is not None:
        question["prompt_tokens"] = namespace.prompt_tokens
    if namespace.deadline_ms is not None:
        question["deadline_ms"] = namespace.deadline_ms
    return question


async def ask_node(address: str, question: dict[str, Any]) -> dict[str, Any]:
    """Send a question to a node and return its answer.

    Raises:
        LaburnumpitchError: If the node does not answer it.
    """
    client = HttpClient(address)
    try:
        answer = await client.request(
            "POST",
            EXPLAIN_PATH,
            [("content-type", "application/json")],
            msgspec.json.encode(question),
            first_byte_timeout_s=CALL_TIMEOUT_S,
        )
        data = msgspec.json.decode(await answer.read())
    finally:
        client.close()
    if answer.status == 400:
        raise MalformedRequestError("the node cannot read the question")
    if answer.status != 200:
        raise LaburnumpitchError(f"status {answer.status}: {data.get('error', '')}")
    return data


def format_seconds(value: float | None) -> str:
    """Return a time as text; a time without end is unknown."""
    return "unknown" if value is None else f"{value:.3f} s"


def format_regions(regions: list[str] | None) -> str:
    """Return allowed regions as text."""
    if regions is None:
        return "any"
    return ", ".join(regions) or "none"


def format_outcome(outcome: dict[str, Any]) -> str:
    """Return what would become of a request as one line."""
    if outcome["action"] == "send":
        return f"sent to {outcome['target_id']}"
    refusal = f"status {outcome['status']}, {outcome['code']}: {outcome['detail']}"
    if outcome["retry_after_s"]:
        low_s, high_s = outcome["retry_after_s"]
        refusal += f", Retry-After {low_s:.2f} to {high_s:.2f} s"
    if outcome["action"] == "wait":
        wait_s = format_seconds(outcome["max_wait_s"])
        return f"waits for up to {wait_s}, then refused ({refusal})"
    return f"refused ({refusal})"


def render_target(target: dict[str, Any], chosen_id: str, tied: list[str]) -> str:
    """Return a line on a target."""
    head = f"{target['target_id']}  {target['data_centre']}/{target['region'] or '?'}"
    load = (
        f"running {target['running']:.1f} of {target['slots']}, "
        f"prefill {target['pending_prefill_tokens']} tokens, "
        f"changed {target['changed_age_s']:.1f} s ago"
    )
    if target["excluded_by"]:
        return f"    - {head}  ruled out: {target['excluded_by']}  ({load})"
    parts = " + ".join(
        f"{name} {part_s:.3f}" for name, part_s in target["cost_parts_s"].items()
    )
    mark = ">" if target["target_id"] == chosen_id else " "
    tie = "  tied" if target["target_id"] in tied else ""
    cost = f"cost {target['cost_s']:.3f} s" + (f" = {parts}" if parts else "")
    return f"    {mark} {head}  {cost}{tie}  ({load})"


def render_service(service: dict[str, Any]) -> Iterator[str]:
    """Return lines on the choice of a target at one service."""
    yield f"service {service['service']} ({service['share']:.0%} of the route)"
    yield f"  outcome: {format_outcome(service['outcome'])}"
    yield f"  waiting at this node: {service['queued']}"
    choice = service["choice"]
    if choice is None:
        return
    by_coordinator = service["coordinator"] and not service["coordinator_error"]
    decider = "coordinator" if by_coordinator else "node"
    verb = "chosen" if choice["chosen_id"] else "seen"
    yield (
        f"  {verb} by {decider} {choice['host']}, configuration "
        f"{choice['configuration_version']}, leader's data "
        f"{format_seconds(choice['contact_age_s'])} old"
    )
    if service["coordinator_error"]:
        host = service["coordinator"] or "none"
        yield f"  coordinator {host} not used: {service['coordinator_error']}"
    elif by_coordinator:
        yield f"  coordinator answered in {service['coordinator_ms']:.1f} ms"
    if choice["blocked_by"]:
        yield f"  nothing is sent now: {choice['blocked_by']}"
    if choice["is_sampled"]:
        yield "  large fleet: only some candidates, drawn anew each time, are compared"
    if service["store"]:
        store = service["store"]
        yield f"  kept context: {store['address']} in {store['data_centre']}"
    yield "  targets:"
    for target in choice["targets"]:
        yield render_target(target, choice["chosen_id"], choice["tied_ids"])


def render_text(answer: dict[str, Any]) -> Iterator[str]:
    """Return the lines of an answer in the text format."""
    yield (
        f"node {answer['node']} in {answer['data_centre']}/{answer['region'] or '?'}, "
        f"configuration {answer['configuration_version']}, leader's data "
        f"{format_seconds(answer['leader_age_s'])} old"
    )
    route = answer["route"]
    if route:
        yield (
            f"route {route['name']}: {route['kind']}, objective "
            f"{route['objective_s']:.3f} s, at most {route['max_targets']} targets, "
            f"regions {format_regions(route['allowed_regions'] or None)}"
        )
    if answer["refusal"]:
        yield f"outcome: {format_outcome(answer['refusal'])}"
        return
    yield (
        f"organisation {answer['organisation'] or 'none'}: regions "
        f"{format_regions(answer['organisation_regions'] or None)}"
    )
    yield (
        f"limits: {answer['timeout_s']:.3f} s to answer, body of "
        f"{answer['limits']['body_bytes']} bytes, priority "
        f"{answer['priority_class']}, allowed regions "
        f"{format_regions(answer['allowed_regions'])}"
    )
    for service in answer["services"]:
        yield from render_service(service)


def run_explain(namespace: argparse.Namespace) -> int:
    """Print where a request would go."""
    check_settings(namespace.parser, namespace, EXPLAIN_SETTINGS)
    try:
        question = make_question(namespace)
    except OSError as error:
        raise SettingsError(f"API key: {error.strerror}") from error
    answer = asyncio.run(ask_node(namespace.control, question))
    if namespace.json:
        print(msgspec.json.format(msgspec.json.encode(answer)).decode())
    else:
        print("\n".join(render_text(answer)))
    return 0


def add_explain_command(commands: Any) -> None:
    """Add the command to the program's parser."""
    parser = commands.add_parser(
        "explain", help="tell where a request would go now, without sending it"
    )
    add_settings(parser, EXPLAIN_SETTINGS)
    parser.set_defaults(run=run_explain, parser=parser)
    parser.add_argument("host", help="host that the client names")
    parser.add_argument("path", help="path of the request")
    parser.add_argument("--method", default="POST", help="method of the request")
    parser.add_argument("--model", default="", help="model that the request names")
    parser.add_argument(
        "--pieces", default="", help="pieces of the prompt: ID:TOKENS,ID:TOKENS"
    )
    parser.add_argument(
        "--prompt-tokens", type=int, help="size of the prompt (default: of its pieces)"
    )
    parser.add_argument(
        "--output-tokens", type=int, default=0, help="limit of generated tokens"
    )
    parser.add_argument("--deadline-ms", type=float, help="time that the client waits")
    parser.add_argument(
        "--api-key-file",
        default="",
        help=f"file with the API key, - for standard input (default: "
        f"${API_KEY_VARIABLE})",
    )
    parser.add_argument("--request-id", default="", help="identifier for the log line")
    parser.add_argument("--json", action="store_true", help="print JSON")
