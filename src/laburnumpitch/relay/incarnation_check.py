"""Checks that a target has not restarted since it announced itself."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from ..errors import TargetError
from ..fleet.engine_client import EngineReport
from ..fleet.messages import TargetRecord

CONFIRMATION_VALIDITY_S = 0.5
"""Time from asking a target until a request is written to it; shorter than any restart
takes. It is longer if this process is suspended in between."""


class IncarnationCheck:
    """Asks engines for the time of their start.

    What a node knows of a target may be out of date: the node was suspended or cut off,
    or the target has restarted and not announced itself yet. It may have another build
    then, even under the same identifier.

    Args:
        read_report: Returns an engine's report.
        get_time_s: Monotonic time that goes on while the machine is suspended.
    """

    def __init__(
        self,
        read_report: Callable[[TargetRecord], Awaitable[EngineReport]],
        get_time_s: Callable[[], float],
    ) -> None:
        self.read_report = read_report
        self.get_time_s = get_time_s

    async def confirm(self, target: TargetRecord) -> Callable[[], None]:
        """Check a target's incarnation.

        Returns:
            A check to make right before the request is written.

        Raises:
            TargetError: If it has restarted, or did not answer; no request was sent.
        """
        asked_s = self.get_time_s()
        try:
            report = await self.read_report(target)
        except TargetError as error:
            raise TargetError(
                f"incarnation not confirmed: {error.detail}", sent=False
            ) from error
        if report.born_ms != target.born_ms:
            raise TargetError("the target has restarted", sent=False)

        def check_age() -> None:
            if self.get_time_s() - asked_s > CONFIRMATION_VALIDITY_S:
                raise TargetError("the confirmation is out of date", sent=False)

        return check_age
