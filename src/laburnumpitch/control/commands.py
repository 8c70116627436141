"""Commands of the state machine and their results.

Each command is idempotent under its own key (change id, claimant, attempt), so
a command that is resent after a lost answer gets the first answer. `time_s` is
the leader's wall-clock time, the only time that the state machine uses.
"""

from __future__ import annotations

from dataclasses import field

from ..transport.codec import message

CLAIM_GRANTED = "granted"
"""The claimant may run the request."""

CLAIM_HELD = "held"
"""A claimant may be running the request; its outcome is not recorded yet."""

CLAIM_SETTLED = "settled"
"""The request ended with a known outcome."""

CLAIM_UNKNOWN = "unknown"
"""The request may have run, and its outcome is lost."""

CLAIM_MISMATCH = "mismatch"
"""The idempotency key was used for a request with another digest."""


@message
class SectionChange:
    """New text of one section, based on the version that the operator read."""

    name: str
    base_version: int
    """Version of the section that was read; 0 if it did not exist."""
    text: str
    """New text; an empty text removes the section."""


@message
class ApplyChange:
    """Changes sections of the document atomically."""

    change_id: str
    operator: str
    sections: list[SectionChange]
    time_s: float = 0.0


@message
class ChangeResult:
    """The result of a change; a resend of the change gets the same result."""

    change_id: str
    revision: int
    error_code: str = ""
    detail: str = ""


@message
class JoinNode:
    """Registers a node, which must then confirm every new revision."""

    node_id: str
    incarnation: int
    time_s: float = 0.0


@message
class ExpireNode:
    """Removes a node whose lease has expired; its open claims become unknown."""

    node_id: str
    incarnation: int
    time_s: float = 0.0


@message
class Claim:
    """Claims the right to run a non-idempotent request, before it is sent."""

    organisation: str
    key: str
    digest: str
    claimant: str
    """Identifier of the attempt, made of node, incarnation and request."""
    node_id: str
    incarnation: int
    time_s: float = 0.0


@message
class KeptAnswer:
    """The complete answer of a service, kept for retries of the request."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@message
class ClaimResult:
    """Whether the claimant may run the request, or how an earlier run ended."""

    status: str
    """One of the `CLAIM_` constants."""
    answer: KeptAnswer | None = None
    is_answer_kept: bool = True


@message
class SettleClaim:
    """Records the outcome of a claimed request."""

    organisation: str
    key: str
    claimant: str
    is_known: bool
    """Whether the outcome is known; if not, the claim becomes unknown."""
    answer: KeptAnswer | None = None
    """None if the outcome is unknown, or if the answer was too large to keep."""
    time_s: float = 0.0


@message
class ReleaseClaim:
    """Releases a claim whose request was certainly not sent."""

    organisation: str
    key: str
    claimant: str
    time_s: float = 0.0


@message
class RecordDeath:
    """Records that a target died while it ran a request."""

    fingerprint: str
    """Identifies equal requests."""
    attempt: str
    target: str
    """Target and incarnation; equal requests on one target count its death once."""
    time_s: float = 0.0


@message
class BeginTrial:
    """Reserves a target for the trial run of one suspect."""

    fingerprint: str
    attempt: str
    target_id: str
    node_id: str
    incarnation: int
    time_s: float = 0.0


@message
class EndTrial:
    """Ends a trial run; a run that completed clears the suspect."""

    fingerprint: str
    attempt: str
    is_cleared: bool
    time_s: float = 0.0


@message
class ClearQuarantine:
    """Lifts the quarantine of a fingerprint, on an operator's request."""

    fingerprint: str
    time_s: float = 0.0


@message
class SuspectResult:
    """The recorded deaths of a fingerprint, and whether it may run now."""

    fingerprint: str
    deaths: int
    may_run: bool


@message
class SetRollout:
    """Pauses or resumes the rollout of a pool."""

    pool: str
    is_paused: bool
    time_s: float = 0.0


@message
class DrainTarget:
    """Stops or resumes new work for a target, on an operator's request."""

    target_id: str
    is_draining: bool
    time_s: float = 0.0


Command = (
    ApplyChange
    | JoinNode
    | ExpireNode
    | Claim
    | SettleClaim
    | ReleaseClaim
    | RecordDeath
    | BeginTrial
    | EndTrial
    | ClearQuarantine
    | SetRollout
    | DrainTarget
)


@message
class Section:
    """One section of the document as committed."""

    name: str
    version: int
    """Number of changes to this section."""
    revision: int
    """Revision of the document that last changed this section."""
    text: str
    """Empty if the section was removed."""


@message
class HistoryItem:
    """One accepted change."""

    revision: int
    change_id: str
    operator: str
    time_s: float
    sections: list[SectionChange] = field(default_factory=list)
