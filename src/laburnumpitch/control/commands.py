"""Commands of the state machine and their results.

Each command is idempotent under its own key (change id, claimant, attempt), so
a command that is resent after a lost answer gets the first answer. `time_s` is
the leader's wall-clock time, the only time that the state machine uses.
"""

from __future__ import annotations

from msgspec import field

from ..transport.codec import Message

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


class SectionChange(Message):
    """New text of one section, based on the version that the operator read."""

    name: str
    base_version: int
    """Version of the section that was read; 0 if it did not exist."""
    text: str
    """New text; an empty text removes the section."""


class ApplyChange(Message):
    """Changes sections of the document atomically."""

    change_id: str
    operator: str
    sections: list[SectionChange]
    time_s: float = 0.0


class ChangeResult(Message):
    """The result of a change; a resend of the change gets the same result."""

    change_id: str
    revision: int
    error_code: str = ""
    detail: str = ""


class JoinNode(Message):
    """Registers a node, which must then confirm every new revision."""

    node_id: str
    incarnation: int
    time_s: float = 0.0


class ExpireNode(Message):
    """Removes a node whose lease has expired; its open claims become unknown."""

    node_id: str
    incarnation: int
    time_s: float = 0.0


class Claim(Message):
    """Claims the right to run a non-idempotent request, before it is sent."""

    organisation: str
    key: str
    digest: str
    claimant: str
    """Identifier of the attempt, made of node, incarnation and request."""
    node_id: str
    incarnation: int
    time_s: float = 0.0


class KeptAnswer(Message):
    """The complete answer of a service, kept for retries of the request."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimResult(Message):
    """Whether the claimant may run the request, or how an earlier run ended."""

    status: str
    """One of the `CLAIM_` constants."""
    answer: KeptAnswer | None = None
    is_answer_kept: bool = True


class SettleClaim(Message):
    """Records the outcome of a claimed request."""

    organisation: str
    key: str
    claimant: str
    is_known: bool
    """Whether the outcome is known; if not, the claim becomes unknown."""
    answer: KeptAnswer | None = None
    """None if the outcome is unknown, or if the answer was too large to keep."""
    time_s: float = 0.0


class ReleaseClaim(Message):
    """Releases a claim whose request was certainly not sent."""

    organisation: str
    key: str
    claimant: str
    time_s: float = 0.0


class RecordDeath(Message):
    """Records that a target died while it ran a request."""

    fingerprint: str
    """Identifies equal requests."""
    attempt: str
    target: str
    """Target and incarnation; equal requests on one target count its death once."""
    time_s: float = 0.0


class BeginTrial(Message):
    """Reserves a target for the trial run of one suspect."""

    fingerprint: str
    attempt: str
    target_id: str
    node_id: str
    incarnation: int
    time_s: float = 0.0


class EndTrial(Message):
    """Ends a trial run; a run that completed clears the suspect."""

    fingerprint: str
    attempt: str
    is_cleared: bool
    time_s: float = 0.0


class ClearQuarantine(Message):
    """Lifts the quarantine of a fingerprint, on an operator's request."""

    fingerprint: str
    time_s: float = 0.0


class SuspectResult(Message):
    """The recorded deaths of a fingerprint, and whether it may run now."""

    fingerprint: str
    deaths: int
    may_run: bool


class SetRollout(Message):
    """Pauses or resumes the rollout of a pool."""

    pool: str
    is_paused: bool
    time_s: float = 0.0


class DrainTarget(Message):
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


class Section(Message):
    """One section of the document as committed."""

    name: str
    version: int
    """Number of changes to this section."""
    revision: int
    """Revision of the document that last changed this section."""
    text: str
    """Empty if the section was removed."""


class HistoryItem(Message):
    """One accepted change."""

    revision: int
    change_id: str
    operator: str
    time_s: float
    sections: list[SectionChange] = field(default_factory=list)
