"""The interface to targets and operators, and the readiness check."""

from __future__ import annotations

from collections.abc import Callable
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
from .announcements import decode_announcement

INSTANCES = "/-/instances/"
CONFIGURATION = "/-/configuration"
VERSION_PUT = "/-/version-put"
READY = "/-/readyz"

BEAT_TIMEOUT_S = 0.9
"""Time for the leader to take an announcement; the target waits a second."""

READ_TIMEOUT_S = 0.9
"""Time for a read of the configuration; the operator waits a second."""

WRITE_TIMEOUT_S = 2.0
"""Time for a change; the operator waits longer for a large one."""

JSON = [("content-type", "application/json")]


class WireVersionPut(msgspec.Struct):
    """Names new weights."""

    model: str
    version: int


class ControlApi:
    """Passes calls of targets and operators on to the leader.

    Args:
        leader: Finds the leader.
    """

    def __init__(self, leader: LeaderClient) -> None:
        self.leader = leader
        self.log = get_logger()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        try:
            status, body = await self.answer(request)
        except LaburnumpitchError as error:
            status = self.choose_status(error)
            body = msgspec.json.encode({"error": error.code})
            self.log.info(
                "control_call_failed",
                method=request.method,
                path=request.path,
                status=status,
                code=error.code,
                detail=error.detail,
                leader=self.leader.leader_name,
            )
        await responder.send(status, JSON, body)

    def choose_status(self, error: LaburnumpitchError) -> int:
        """Return the status of a failure; only a wrong call is refused for good."""
        return error.status if error.status in (400, 404, 413) else 503

    async def answer(self, request: HttpRequest) -> tuple[int, bytes]:
        """Return status and body.

        Raises:
            LaburnumpitchError: If the call fails.
        """
        call = (request.method, request.path)
        if request.path.startswith(INSTANCES):
            return await self.answer_target(request)
        if call == ("PUT", CONFIGURATION):
            await self.leader.call(PutConfiguration(request.body), WRITE_TIMEOUT_S)
            return 200, b"{}"
        if call == ("GET", CONFIGURATION):
            return await self.read_configuration()
        if call == ("POST", VERSION_PUT):
            await self.leader.call(decode_weights(request.body), WRITE_TIMEOUT_S)
            return 200, b"{}"
        raise NotFoundError(request.path)

    async def answer_target(self, request: HttpRequest) -> tuple[int, bytes]:
        """Take what a target says of itself."""
        target_id = unquote(request.path[len(INSTANCES) :])
        if request.method == "PUT":
            record = decode_announcement(target_id, request.body)
            answer = await self.leader.call(Announce(record), BEAT_TIMEOUT_S)
        elif request.method == "DELETE":
            answer = await self.leader.call(Depart(target_id), BEAT_TIMEOUT_S)
        else:
            raise MalformedRequestError(request.method)
        return 200, msgspec.json.encode({"heartbeat_url": answer.home_address})

    async def read_configuration(self) -> tuple[int, bytes]:
        """Return the newest configuration, or 503 if that is not certain."""
        try:
            answer = await self.leader.call(ReadConfiguration(), READ_TIMEOUT_S)
        except NotFoundError:
            return 503, b"{}"
        return 200, answer.body


def decode_weights(body: bytes) -> PutWeights:
    """Read a named weight version.

    Raises:
        MalformedRequestError: If it cannot be read.
    """
    try:
        wire = msgspec.json.decode(body, type=WireVersionPut)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedRequestError(str(error)) from error
    return PutWeights(wire.model, wire.version)


class ReadyApi:
    """Answers the platform's check of whether this node takes clients.

    Args:
        is_ready: Returns whether it does.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one check."""
        is_ready = request.path == READY and self.is_ready()
        await responder.send(200 if is_ready else 503, JSON, b"{}")
