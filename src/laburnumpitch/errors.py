"""Typed failures, each with a stable code.

Every error that reaches a caller or an operator is a subclass of
`LaburnumpitchError`. The reference of codes is generated from this module.
"""

from __future__ import annotations

from typing import ClassVar

NOT_RUN = "not_run"
"""The request reached no target that could act on it."""

UNKNOWN = "unknown"
"""The request may have run."""


class LaburnumpitchError(Exception):
    """A failure with a code.

    Args:
        detail: What happened, for people.
        retry_after_s: Seconds after which a retry may help, or None.
    """

    code: ClassVar[str] = "internal"
    """Stable identifier of the failure."""
    status: ClassVar[int] = 500
    """HTTP status of the failure towards callers."""
    run: ClassVar[str] = NOT_RUN
    """Whether the request may have run: `NOT_RUN` or `UNKNOWN`."""

    def __init__(self, detail: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after_s = retry_after_s


class InternalError(LaburnumpitchError):
    """A fault of the system itself; the request may have run."""

    run = UNKNOWN


class SettingsError(LaburnumpitchError):
    """A setting is missing, malformed or out of bounds."""

    code = "bad_setting"
    status = 400


class TransitionError(LaburnumpitchError):
    """A state chart has no transition for an event in a state."""

    code = "unknown_transition"
    run = UNKNOWN


class MalformedRequestError(LaburnumpitchError):
    """The caller's request cannot be read."""

    code = "malformed_request"
    status = 400


class TooLargeError(LaburnumpitchError):
    """A header, body or prompt is larger than its bound."""

    code = "too_large"
    status = 413


class UnauthenticatedError(LaburnumpitchError):
    """The API key is missing or not in the configuration."""

    code = "unauthenticated"
    status = 401


class ForbiddenError(LaburnumpitchError):
    """The caller or operator may not do this."""

    code = "forbidden"
    status = 403


class NotFoundError(LaburnumpitchError):
    """The path, service, model or section does not exist."""

    code = "not_found"
    status = 404


class IdempotencyKeyRequiredError(LaburnumpitchError):
    """A non-idempotent operation came without an Idempotency-Key."""

    code = "idempotency_key_required"
    status = 400


class IdempotencyKeyReusedError(LaburnumpitchError):
    """The Idempotency-Key was used before with another request."""

    code = "idempotency_key_reused"
    status = 422


class RequestInProgressError(LaburnumpitchError):
    """The request with this Idempotency-Key is still running."""

    code = "request_in_progress"
    status = 409
    run = UNKNOWN


class OutcomeUnknownError(LaburnumpitchError):
    """The non-idempotent request may have run; it is never sent again."""

    code = "outcome_unknown"
    status = 502
    run = UNKNOWN


class AnswerNotKeptError(LaburnumpitchError):
    """The request ran, but its answer was too large to keep."""

    code = "answer_not_kept"
    status = 410
    run = UNKNOWN


class RateLimitedError(LaburnumpitchError):
    """The organisation is over its limit."""

    code = "rate_limited"
    status = 429


class OverloadedError(LaburnumpitchError):
    """The queue is full, or the predicted wait exceeds the deadline."""

    code = "overloaded"
    status = 503


class DeadlineExceededError(LaburnumpitchError):
    """The deadline passed before the request was sent to a target."""

    code = "deadline_exceeded"
    status = 504


class NoTargetError(LaburnumpitchError):
    """No target of the pool takes new work."""

    code = "no_target"
    status = 503


class NoLeaseError(LaburnumpitchError):
    """This node holds no control lease and takes no new work."""

    code = "no_lease"
    status = 503


class DrainingError(LaburnumpitchError):
    """This node is shutting down and takes no new work."""

    code = "draining"
    status = 503


class QuarantinedError(LaburnumpitchError):
    """This request crashed targets before and is refused on every node."""

    code = "quarantined"
    status = 422


class TargetError(LaburnumpitchError):
    """A target failed while it had the request.

    Args:
        detail: What happened, for people.
        sent: Whether any byte of the request reached the target.
        has_died: Whether the target's connection broke, as in a crash.
    """

    code = "target_failed"
    status = 502
    run = UNKNOWN

    def __init__(
        self, detail: str = "", *, sent: bool = True, has_died: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.has_died = has_died

    @property
    def is_unreachable(self) -> bool:
        """Whether the target cannot be reached now."""
        return not self.sent or self.has_died


class TargetTimeoutError(TargetError):
    """A target did not connect, answer or go on in time."""

    code = "target_timeout"
    status = 504

    @property
    def is_unreachable(self) -> bool:
        """Whether the target cannot be reached now."""
        return True


class MalformedAnswerError(TargetError):
    """A target's answer is malformed, oversized or for another request."""

    code = "malformed_answer"


class TargetRefusedError(TargetError):
    """A target refused the request before acting on it."""

    code = "target_refused"


class StreamBrokenError(TargetError):
    """A stream broke after its start and could not be resumed."""

    code = "stream_broken"


class RpcTimeoutError(LaburnumpitchError):
    """A process of the system did not answer in time."""

    code = "rpc_timeout"
    status = 503
    run = UNKNOWN


class CodecError(LaburnumpitchError):
    """A message between processes is malformed or too large."""

    code = "bad_message"


class NotLeaderError(LaburnumpitchError):
    """The control replica is not the leader; the detail names a better one."""

    code = "not_leader"
    status = 503


class ControlUnavailableError(LaburnumpitchError):
    """No control leader answered before the deadline."""

    code = "control_unavailable"
    status = 503
    run = UNKNOWN


class LogCorruptError(LaburnumpitchError):
    """The synced log is damaged before its tail; the replica refuses to start."""

    code = "log_corrupt"


class VersionConflictError(LaburnumpitchError):
    """A section changed since the operator read it; the detail has its text."""

    code = "version_conflict"
    status = 409


class InvalidDocumentError(LaburnumpitchError):
    """The document breaks a rule; the detail has the path to the field."""

    code = "invalid_document"
    status = 422


class NotStoreOwnerError(LaburnumpitchError):
    """The node asked does not keep the books of this store."""

    code = "store_not_kept"
    status = 503


class NotCoordinatorError(LaburnumpitchError):
    """The node asked does not hand out the places of this service."""

    code = "not_coordinator"
    status = 503


class InvalidConfigurationError(LaburnumpitchError):
    """A configuration cannot be read in full, or breaks a rule."""

    code = "invalid_configuration"
    status = 400


class ShardMovedError(LaburnumpitchError):
    """The node asked does not own the directory shard in its view."""

    code = "shard_moved"
    status = 503


def get_error_classes() -> dict[str, type[LaburnumpitchError]]:
    """Return every error class by its code."""
    classes_by_code: dict[str, type[LaburnumpitchError]] = {}
    pending: list[type[LaburnumpitchError]] = [LaburnumpitchError]
    while pending:
        error_class = pending.pop(0)
        classes_by_code.setdefault(error_class.code, error_class)
        pending.extend(error_class.__subclasses__())
    return classes_by_code
