"""HTTP calls of operators that evacuate a data centre, or end that."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import unquote

import msgspec

from ..clock_sources import get_boottime_s
from ..errors import ChangeDelayedError, MalformedRequestError
from ..fleet.evacuation_messages import PutEvacuation, ReadEvacuation
from ..fleet.leader_client import LeaderClient
from ..logging import get_logger
from ..transport.http_server import HttpRequest

EVACUATIONS_PATH = "/-/evacuations/"
"""Prefix of the path at which an operator orders or withdraws an evacuation."""

MAX_NAME_CHARS = 253
"""Longest name of a data centre, in characters."""

PROPOSAL_WINDOW_S = 0.9
"""Time from a call's arrival in which a change may be proposed. The operator sends the
call to another node after a second, and maybe the contrary after that."""

CHANGE_TIMEOUT_S = 3.0
"""Timeout of a change, with the wait for nodes after an election."""


class EvacuationCalls:
    """Passes operators' calls on to the leader.

    A node reads the data centre's revision first. A change that the leader gets late,
    or twice, is on an older revision then and changes nothing.

    Args:
        leader_client: Finds and calls the leader.
        has_leader_contact: Returns whether a leader has answered this node lately. A
            node that was suspended has calls of unknown age, which it refuses.
        get_time_s: Monotonic time that goes on while the process is suspended.
    """

    def __init__(
        self,
        leader_client: LeaderClient,
        has_leader_contact: Callable[[], bool],
        get_time_s: Callable[[], float] = get_boottime_s,
    ) -> None:
        self.leader_client = leader_client
        self.has_leader_contact = has_leader_contact
        self.get_time_s = get_time_s
        self.log = get_logger()

    async def handle(self, request: HttpRequest) -> tuple[int, bytes]:
        """Carry out a call and return status and body of the answer.

        It is cancelled when the operator disconnects, and proposes nothing then.

        Raises:
            LaburnumpitchError: If the call fails.
        """
        if request.method not in ("POST", "DELETE"):
            raise MalformedRequestError(request.method)
        data_centre = decode_name(request.path[len(EVACUATIONS_PATH) :])
        revision = await self.change(data_centre, request.method == "POST")
        return 200, msgspec.json.encode({"revision": revision})

    async def change(self, data_centre: str, is_evacuated: bool) -> int:
        """Change the state of a data centre and return its revision.

        Raises:
            LaburnumpitchError: If the change is not acknowledged.
        """
        if not self.has_leader_contact():
            raise ChangeDelayedError("no leader has answered lately")
        deadline_s = self.get_time_s() + PROPOSAL_WINDOW_S
        while True:
            read = await self.leader_client.call(
                ReadEvacuation(data_centre), max(0.0, deadline_s - self.get_time_s())
            )
            if self.get_time_s() > deadline_s:
                raise ChangeDelayedError("the call is too old to propose a change")
            answer = await self.leader_client.call(
                PutEvacuation(data_centre, is_evacuated, read.revision),
                CHANGE_TIMEOUT_S,
                # The leader's wait for the nodes is no reason to try another host; this
                # node's other calls find out if it is lost.
                CHANGE_TIMEOUT_S,
            )
            if answer.is_accepted:
                return answer.revision
            self.log.info(
                "evacuation_outdated", data_centre=data_centre, base=read.revision
            )


def decode_name(text: str) -> str:
    """Return the data centre's name from the path.

    Raises:
        MalformedRequestError: If it is not printable text of bounded length.
    """
    try:
        name = unquote(text, errors="strict")
    except UnicodeDecodeError as error:
        raise MalformedRequestError("the name is not valid Unicode") from error
    if not 1 <= len(name) <= MAX_NAME_CHARS or not name.isprintable():
        raise MalformedRequestError("the name is empty, too long or not printable")
    return name
