"""Isolates requests that were in flight when targets died."""

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
"""Time to commit what is known of a suspect."""

WAIT_INTERVAL_S = 0.2
"""Pause before asking again for a trial that was not granted."""


@dataclass(frozen=True)
class Trial:
    """A suspect's run on a target that no other suspect uses."""

    fingerprint: str
    attempt: str
    target_id: str


class SuspectGuard:
    """This node's dealings with suspect and quarantined requests.

    Args:
        session: The node's session, which holds the known suspects.
        control: Client of the control leader.
    """

    def __init__(self, session: Session, control: Proposer) -> None:
        self.session = session
        self.control = control
        self.log = get_logger()

    def check(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect.

        Raises:
            QuarantinedError: If it crashed too many targets.
        """
        suspect = self.session.suspects.get(fingerprint)
        if suspect is None:
            return False
        if suspect.deaths >= MAX_TARGET_DEATHS:
            raise QuarantinedError(f"it crashed {suspect.deaths} targets")
        return suspect.deaths > 0

    def get_trial_targets(self) -> set[str]:
        """Return the targets on which suspects run."""
        return {item.trial_target for item in self.session.suspects.values()} - {""}

    async def record_death(
        self, fingerprint: str, attempt: str, target: TargetInfo
    ) -> int:
        """Commit that a target died while it ran a request.

        Returns:
            The number of targets that died so far.
        """
        name = f"{target.target_id}/{target.incarnation}"
        command = RecordDeath(fingerprint, attempt, name)
        result = await self.control.propose(command, COMMIT_TIMEOUT_S)
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
            Whether it may run there; if not, another target may be tried.

        Raises:
            QuarantinedError: If it crashed too many targets meanwhile.
            DeadlineExceededError: If the deadline passed.
        """
        if time.monotonic() >= deadline_s:
            raise DeadlineExceededError("no target was free for a trial")
        node = self.session.node
        command = BeginTrial(
            trial.fingerprint,
            trial.attempt,
            trial.target_id,
            node.node_id,
            node.incarnation,
        )
        result = await self.control.propose(command, COMMIT_TIMEOUT_S)
        if result.deaths >= MAX_TARGET_DEATHS:
            raise QuarantinedError(f"it crashed {result.deaths} targets")
        if not result.may_run:
            await asyncio.sleep(WAIT_INTERVAL_S)
        return result.may_run

    async def end_trial(self, trial: Trial, is_cleared: bool) -> None:
        """Free the target; a finished run clears the suspect."""
        command = EndTrial(trial.fingerprint, trial.attempt, is_cleared)
        try:
            await self.control.propose(command, COMMIT_TIMEOUT_S)
        except LaburnumpitchError as error:
            self.log.warning("trial_not_ended", code=error.code)
        if is_cleared:
            self.session.suspects.pop(trial.fingerprint, None)
