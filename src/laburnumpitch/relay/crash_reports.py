"""Reports targets that died to the leader, and refuses requests that crash targets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from ..errors import QuarantinedError, TargetError
from ..fleet.crash_messages import (
    PastDeath,
    PastDeaths,
    PiecesCompleted,
    RequestCompleted,
    TargetDied,
)
from ..fleet.fleet_view import FleetView
from ..fleet.messages import TargetRecord
from ..logging import get_logger
from ..policy.recent_answers import RecentAnswers
from ..transport.http_client import HttpClientPool
from .leader_notices import NOTICE_TIMEOUT_S, LeaderNotices
from .reported_deaths import ReportedDeaths
from .request import AdmittedRequest

DEATH_CHECK_TIMEOUT_S = 0.3
"""Timeout of the connection that shows whether a target still runs."""

REPORT_PAUSE_S = 0.5
"""Pause after a leader could not be sent the deaths that were reported before."""

DEATH_CHECK_VALIDITY_S = 1.0
"""Time for which the result of such a check is used again."""


class CrashReports:
    """A node's part in finding requests, and pieces of prompts, that crash targets.

    Args:
        fleet_view: This node's copy of the fleet's state.
        clients: Connections to targets.
        notices: Sends notices to the leader.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        clients: HttpClientPool,
        notices: LeaderNotices,
        get_time_s: Callable[[], float],
    ) -> None:
        self.fleet_view = fleet_view
        self.clients = clients
        self.notices = notices
        self.get_time_s = get_time_s
        self.answered_pieces = RecentAnswers()
        """Pieces of prompts that targets answered."""
        self.answered_requests = RecentAnswers()
        self.reported = ReportedDeaths()
        self.term = fleet_view.term
        """Term whose leader has the reported deaths, or is being sent them."""
        self.death_checks: dict[tuple[str, int], asyncio.Task[bool]] = {}
        """Check of each target's incarnation that may have died."""
        self.log = get_logger()
        fleet_view.on_change.append(self.on_fleet_change)

    def on_fleet_change(self) -> None:
        """Report the deaths again if there is a new leader, which counts from there."""
        view = self.fleet_view
        if view.term == self.term:
            self.reported.update_suspects(
                view.suspect_requests,
                view.suspect_pieces,
                view.quarantined,
                view.quarantined_pieces,
            )
            return
        self.term = view.term
        self.reported.set_suspects(view.suspect_requests, view.suspect_pieces)
        deaths = self.reported.list_deaths(self.get_time_s())
        if deaths:
            self.log.info("deaths_reported_again", term=view.term, deaths=len(deaths))
            self.notices.start_task(self.report_past_deaths(view.term, deaths))

    async def report_past_deaths(self, term: int, deaths: list[PastDeath]) -> None:
        """Send deaths to the leader of a term, until it has them or the term ends."""
        started_s = self.get_time_s()
        while self.fleet_view.term == term:
            waited_s = self.get_time_s() - started_s
            aged = [replace(d, age_s=d.age_s + waited_s) for d in deaths]
            if await self.notices.send(PastDeaths(aged)):
                return
            await asyncio.sleep(REPORT_PAUSE_S)

    def check(self, admitted: AdmittedRequest) -> None:
        """Check that a request is not known to crash targets.

        Raises:
            QuarantinedError: If it is.
        """
        view = self.fleet_view
        if view.quarantined and admitted.fingerprint in view.quarantined:
            raise QuarantinedError("this request crashed targets before")
        for piece in admitted.metadata.shared_pieces:
            if piece.piece_id in view.quarantined_pieces:
                raise QuarantinedError(f"piece {piece.piece_id} crashed targets before")

    def is_suspect(self, admitted: AdmittedRequest) -> bool:
        """Whether a request may crash another target, and must not be repeated.

        A suspect piece is cleared here by a complete answer lately.
        """
        pieces = {piece.piece_id for piece in admitted.metadata.shared_pieces}
        suspects = pieces & self.fleet_view.suspect_pieces
        return bool(self.answered_pieces.select_incomplete(suspects, self.get_time_s()))

    def record_completed(self, admitted: AdmittedRequest) -> None:
        """Record a complete answer, which clears the request and its pieces."""
        pieces = [piece.piece_id for piece in admitted.metadata.shared_pieces]
        fingerprint = admitted.fingerprint
        self.answered_pieces.record(pieces, self.get_time_s())
        self.answered_requests.record((fingerprint,), self.get_time_s())
        self.reported.clear((fingerprint,), pieces)
        if fingerprint in self.fleet_view.suspect_requests:
            self.notices.start(RequestCompleted(fingerprint))
        cleared = [piece for piece in pieces if piece in self.fleet_view.suspect_pieces]
        if cleared:
            self.notices.start(PiecesCompleted(cleared))

    def start_report(
        self, admitted: AdmittedRequest, target: TargetRecord, has_begun: bool
    ) -> None:
        """Report in the background that a target died, if it did.

        A request that another target answered a moment ago is not the cause; many
        copies of one may be under way at targets that crash together.

        Args:
            admitted: The request that the target had.
            target: The target whose connection broke.
            has_begun: Whether the answer had begun, which clears the request's pieces.
        """
        pieces = [piece.piece_id for piece in admitted.metadata.shared_pieces]
        suspects = self.answered_pieces.select_suspects(pieces, self.get_time_s())
        requests = self.answered_requests.select_incomplete(
            (admitted.fingerprint,), self.get_time_s()
        )
        notice = TargetDied(
            requests[0] if requests else "",
            target.target_id,
            target.born_ms,
            [] if has_begun else suspects,
        )
        self.notices.start_task(self.report_death(notice, target))

    async def report_death(self, notice: TargetDied, target: TargetRecord) -> None:
        """Send a notice if the target accepts no connection any more."""
        key = (target.target_id, target.born_ms)
        check = self.death_checks.get(key)
        if check is None:
            check = asyncio.create_task(self.has_died(target))
            self.death_checks[key] = check
            loop = asyncio.get_running_loop()
            loop.call_later(DEATH_CHECK_VALIDITY_S, self.death_checks.pop, key, None)
        if not await check:
            return
        self.reported.record(notice, self.get_time_s())
        term = self.fleet_view.term
        if not await self.notices.send(notice):
            await self.report_past_deaths(term, [PastDeath(notice, NOTICE_TIMEOUT_S)])

    async def has_died(self, target: TargetRecord) -> bool:
        """Whether a target accepts no connection."""
        try:
            connection = await self.clients.get(target.address).connect(
                DEATH_CHECK_TIMEOUT_S
            )
        except TargetError as error:
            self.log.info("target_died", target=target.target_id, detail=error.detail)
            return True
        connection.close()
        return False
