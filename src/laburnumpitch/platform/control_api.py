"""HTTP interface for targets and operators, and the readiness check."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import nullcontext
from urllib.parse import unquote

import msgspec

from ..errors import LaburnumpitchError, MalformedRequestError, NotFoundError
from ..fleet.leader_client import LeaderClient
from ..fleet.messages import (
    Announce,
    Depart,
    PutConfiguration,
    PutWeights,
    ReadConfiguration,
)
from ..logging import get_logger
from ..transport.http_server import HttpRequest, Responder
from .announcements import check_target_id, decode_announcement
from .evacuation_calls import EVACUATIONS_PATH, EvacuationCalls
from .explain_api import ExplainRequest, answer_question
from .wire_values import BoundedText, Count, is_too_deep

INSTANCES_PATH = "/-/instances/"
"""Prefix of the path at which a target announces itself or departs."""

CONFIGURATION_PATH = "/-/configuration"
VERSION_PUT_PATH = "/-/version-put"
"""Path at which an operator names the weight version that engines have to serve."""

EXPLAIN_PATH = "/-/explain"
"""Path at which an operator asks where a request would go."""

READINESS_PATH = "/-/readyz"

ANNOUNCE_TIMEOUT_S = 0.9
"""Timeout of passing an announcement to the leader; the target waits 1 s."""

READ_TIMEOUT_S = 0.9
"""Timeout of reading the configuration; the operator waits 1 s."""

WRITE_TIMEOUT_S = 2.0
"""Timeout of a change; the operator waits longer for a large one."""

LARGE_CONFIGURATION_BYTES = 256 * 1024
"""Size of a configuration above which one at a time is passed on."""

JSON_HEADERS = [("content-type", "application/json")]


class WireVersionPut(msgspec.Struct):
    """Names a model's new weight version."""

    model: BoundedText
    version: Count


class ControlApi:
    """Forwards calls of targets and operators to the leader.

    Args:
        leader_client: Finds and calls the leader.
        has_leader_contact: Returns whether a leader has answered this node lately.
        explain: Explains where a request would go.
    """

    def __init__(
        self,
        leader_client: LeaderClient,
        has_leader_contact: Callable[[], bool],
        explain: ExplainRequest,
    ) -> None:
        self.leader_client = leader_client
        self.evacuation_calls = EvacuationCalls(leader_client, has_leader_contact)
        self.explain = explain
        self.configuration_lock = asyncio.Lock()
        """Held while a large configuration is passed on: each is copied several times
        on its way to the leader, and forty of 1 MB at once took 150 MB."""
        self.log = get_logger()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a call, with an error status if it fails."""
        try:
            status, body = await self.dispatch_call(request)
        except LaburnumpitchError as error:
            status = self.get_status(error)
            body = msgspec.json.encode({"error": error.code})
            self.log.info(
                "control_call_failed",
                method=request.method,
                path=request.path,
                status=status,
                code=error.code,
                detail=error.detail,
                leader=self.leader_client.leader_name,
            )
        await responder.send(status, JSON_HEADERS, body)

    def get_status(self, error: LaburnumpitchError) -> int:
        """Return an error's HTTP status; temporary (503) unless the call is wrong."""
        return error.status if error.status in (400, 404, 413) else 503

    async def dispatch_call(self, request: HttpRequest) -> tuple[int, bytes]:
        """Carry out a call and return status and body of the answer.

        Raises:
            LaburnumpitchError: If the call fails.
        """
        call = (request.method, request.path)
        if request.path.startswith(INSTANCES_PATH):
            return await self.handle_target_call(request)
        if request.path.startswith(EVACUATIONS_PATH):
            return await self.evacuation_calls.handle(request)
        if call == ("PUT", CONFIGURATION_PATH):
            is_large = len(request.body) > LARGE_CONFIGURATION_BYTES
            async with self.configuration_lock if is_large else nullcontext():
                await self.leader_client.call(
                    PutConfiguration(request.body), WRITE_TIMEOUT_S
                )
            return 200, b"{}"
        if call == ("GET", CONFIGURATION_PATH):
            return await self.read_configuration()
        if call == ("POST", VERSION_PUT_PATH):
            await self.leader_client.call(
                decode_version_put(request.body), WRITE_TIMEOUT_S
            )
            return 200, b"{}"
        if call == ("POST", EXPLAIN_PATH):
            return 200, await answer_question(self.explain, request.body)
        raise NotFoundError(request.path)

    async def handle_target_call(self, request: HttpRequest) -> tuple[int, bytes]:
        """Forward a target's announcement or departure.

        Raises:
            LaburnumpitchError: If the call fails.
        """
        target_id = unquote(request.path[len(INSTANCES_PATH) :])
        if request.method == "PUT":
            record = decode_announcement(target_id, request.body)
            answer = await self.leader_client.call(Announce(record), ANNOUNCE_TIMEOUT_S)
        elif request.method == "DELETE":
            check_target_id(target_id)
            answer = await self.leader_client.call(
                Depart(target_id), ANNOUNCE_TIMEOUT_S
            )
        else:
            raise MalformedRequestError(request.method)
        return 200, msgspec.json.encode({"heartbeat_url": answer.home_address})

    async def read_configuration(self) -> tuple[int, bytes]:
        """Return the newest configuration, or status 503 if there is none yet.

        Raises:
            LaburnumpitchError: If no leader confirms it as the newest.
        """
        try:
            answer = await self.leader_client.call(ReadConfiguration(), READ_TIMEOUT_S)
        except NotFoundError:
            return 503, b"{}"
        return 200, answer.body


def decode_version_put(body: bytes) -> PutWeights:
    """Decode a call that names a weight version.

    Raises:
        MalformedRequestError: If it is malformed, or a value is out of its bounds.
    """
    try:
        wire = msgspec.json.decode(body, type=WireVersionPut)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedRequestError(str(error)) from error
    if is_too_deep(body):
        raise MalformedRequestError("nested too deeply")
    return PutWeights(wire.model, wire.version)


class ReadinessApi:
    """Answers the platform's check of whether this node accepts clients.

    Args:
        is_ready: Returns whether it does.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a readiness check with status 200 or 503."""
        is_ready = request.path == READINESS_PATH and self.is_ready()
        await responder.send(200 if is_ready else 503, JSON_HEADERS, b"{}")
