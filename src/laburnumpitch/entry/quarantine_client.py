"""Client of the record of suspects: requests in flight on a target when it died.

A suspect runs only as a trial, on a target without another suspect. After
`MAX_TARGET_DEATHS` deaths it is quarantined and refused on every node.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from ..control.commands import BeginTrial, EndTrial, RecordDeath
from ..control.state_machine import MAX_TARGET_DEATHS
from ..errors import DeadlineExceededError, LaburnumpitchError, QuarantinedError
from ..logging import get_logger
from ..membership.messages import TargetInfo
from ..membership.proposer import Proposer
from ..membership.session import Session

COMMIT_TIMEOUT_S = 10.0
"""Timeout for committing a change to a suspect's record."""

TRIAL_RETRY_INTERVAL_S = 0.2
"""Pause after a refused reservation, before another target is tried."""


@dataclass(frozen=True)
class Trial:
    """An attempt of a suspect on a target that is reserved for it."""

    fingerprint: str
    attempt: str
    target_id: str


class QuarantineClient:
    """Checks, reserves and records the runs of suspects for one node.

    Args:
        session: The node's session, which has the list of suspects.
        proposer: Client of the control leader.
    """

    def __init__(self, session: Session, proposer: Proposer) -> None:
        self.session = session
        self.proposer = proposer
        self.log = get_logger()

    def check_suspect(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect.

        Raises:
            QuarantinedError: If the request has crashed too many targets.
        """
        suspect = self.session.suspects.get(fingerprint)
        if suspect is None:
            return False
        if suspect.deaths >= MAX_TARGET_DEATHS:
            raise QuarantinedError(f"the request crashed {suspect.deaths} targets")
        return suspect.deaths > 0

    def get_trial_target_ids(self) -> set[str]:
        """Return the identifiers of the targets on which suspects run."""
        return {item.trial_target for item in self.session.suspects.values()} - {""}

    async def record_death(
        self, fingerprint: str, attempt: str, target: TargetInfo
    ) -> int:
        """Commit that a target died while it ran a request.

        Returns:
            The number of targets that have died while running the request.
        """
        target_incarnation = f"{target.target_id}/{target.incarnation}"
        command = RecordDeath(fingerprint, attempt, target_incarnation)
        result = await self.proposer.propose(command, COMMIT_TIMEOUT_S)
        self.log.warning(
            "target_died",
            fingerprint=fingerprint,
            deaths=result.deaths,
            attempt=attempt,
            target=target.target_id,
        )
        return result.deaths

    async def begin_trial(self, trial: Trial, deadline_s: float) -> bool:
        """Reserve a target for a suspect.

        Returns:
            Whether the suspect may run there; if not, try another target.

        Raises:
            QuarantinedError: If the request has crashed too many targets by now.
            DeadlineExceededError: If the deadline has passed.
        """
        if time.monotonic() >= deadline_s:
            raise DeadlineExceededError("no target was available for a trial run")
        node = self.session.node
        command = BeginTrial(
            trial.fingerprint,
            trial.attempt,
            trial.target_id,
            node.node_id,
            node.incarnation,
        )
        result = await self.proposer.propose(command, COMMIT_TIMEOUT_S)
        if result.deaths >= MAX_TARGET_DEATHS:
            raise QuarantinedError(f"the request crashed {result.deaths} targets")
        if not result.may_run:
            await asyncio.sleep(TRIAL_RETRY_INTERVAL_S)
        return result.may_run

    async def end_trial(self, trial: Trial, is_cleared: bool) -> None:
        """Release the target; a completed run also clears the suspect."""
        command = EndTrial(trial.fingerprint, trial.attempt, is_cleared)
        try:
            await self.proposer.propose(command, COMMIT_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.log.warning("trial_not_ended", code=error.code)
        if is_cleared:
            self.session.suspects.pop(trial.fingerprint, None)
