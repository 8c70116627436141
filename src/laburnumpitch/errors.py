"""Exception classes, each with a stable error code.

Every error that reaches a caller or an operator is a subclass of
`LaburnumpitchError`. The reference page of error codes is generated from this module.
"""

from __future__ import annotations

from typing import ClassVar

NOT_RUN = "not_run"
"""No target has acted on the request."""

UNKNOWN = "unknown"
"""A target may have acted on the request."""


class LaburnumpitchError(Exception):
    """A failure with an error code.

    Args:
        detail: Description of the failure for callers and operators.
        retry_after_s: Seconds after which a retry may succeed, or None.
    """

    code: ClassVar[str] = "internal"
    """Stable identifier of the failure."""
    status: ClassVar[int] = 500
    """HTTP status of the answer to the caller."""
    run: ClassVar[str] = NOT_RUN
    """Whether a target may have acted on the request: `NOT_RUN` or `UNKNOWN`."""

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
    """A state chart has no transition for an event in the current state."""

    code = "unknown_transition"
    run = UNKNOWN


class MalformedRequestError(LaburnumpitchError):
    """The caller's request cannot be parsed."""

    code = "malformed_request"
    status = 400


class TooLargeError(LaburnumpitchError):
    """A header, body or prompt exceeds its size limit."""

    code = "too_large"
    status = 413


class UnauthenticatedError(LaburnumpitchError):
    """The API key is missing or not in the configuration."""

    code = "unauthenticated"
    status = 401


class ForbiddenError(LaburnumpitchError):
    """The caller or operator lacks permission for the request."""

    code = "forbidden"
    status = 403


class NotFoundError(LaburnumpitchError):
    """The path, service, model or section does not exist."""

    code = "not_found"
    status = 404


class IdempotencyKeyRequiredError(LaburnumpitchError):
    """A non-idempotent request has no Idempotency-Key."""

    code = "idempotency_key_required"
    status = 400


class IdempotencyKeyReusedError(LaburnumpitchError):
    """The Idempotency-Key was already used with a different request."""

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
    """The request ran, but its answer was too large to store for replay."""

    code = "answer_not_kept"
    status = 410
    run = UNKNOWN


class RateLimitedError(LaburnumpitchError):
    """The organisation exceeds its rate limit."""

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
    """No target of the pool accepts new requests."""

    code = "no_target"
    status = 503


class EvacuatedError(NoTargetError):
    """Every target that may run the request is in an evacuated data centre."""

    code = "evacuated"


class NoLeaseError(LaburnumpitchError):
    """This node holds no control lease and accepts no new requests."""

    code = "no_lease"
    status = 503


class DrainingError(LaburnumpitchError):
    """This node is shutting down and accepts no new requests."""

    code = "draining"
    status = 503


class QuarantinedError(LaburnumpitchError):
    """The request has crashed targets before and is refused on every node."""

    code = "quarantined"
    status = 422


class StreamOriginUnknownError(LaburnumpitchError):
    """Nobody knows for certain which build of the targets' software began a stream."""

    code = "stream_origin_unknown"
    status = 503


class TargetError(LaburnumpitchError):
    """A target failed while it had the request.

    Args:
        detail: Description of the failure for callers and operators.
        sent: Whether any byte of the request was sent to the target.
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
    """A target did not connect, answer or continue its stream in time."""

    code = "target_timeout"
    status = 504

    @property
    def is_unreachable(self) -> bool:
        """Whether the target cannot be reached now."""
        return True


class MalformedAnswerError(TargetError):
    """A target's answer is malformed, too large or belongs to another request."""

    code = "malformed_answer"


class TargetRefusedError(TargetError):
    """A target refused the request before acting on it."""

    code = "target_refused"


class SendWithdrawnError(TargetError):
    """A send was given up before its first byte; its target has not failed."""

    code = "send_withdrawn"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail, sent=False)

    @property
    def is_unreachable(self) -> bool:
        """Whether the target cannot be reached now."""
        return False


class TargetEvacuatedError(SendWithdrawnError):
    """A target's data centre was evacuated before the request was sent."""

    code = "target_evacuated"


class ColdTargetError(SendWithdrawnError):
    """The target is cold, and the request has no valid grant to be sent there."""

    code = "target_cold"


class StreamBrokenError(TargetError):
    """A stream broke after its start and could not be resumed."""

    code = "stream_broken"


class RpcTimeoutError(LaburnumpitchError):
    """Another process of the system did not answer in time."""

    code = "rpc_timeout"
    status = 503
    run = UNKNOWN


class CodecError(LaburnumpitchError):
    """A message between processes is malformed or too large."""

    code = "bad_message"


class NotLeaderError(LaburnumpitchError):
    """The control replica is not the leader; the detail may name the leader."""

    code = "not_leader"
    status = 503


class ControlUnavailableError(LaburnumpitchError):
    """No leader of the control replicas answered before the deadline."""

    code = "control_unavailable"
    status = 503
    run = UNKNOWN


class LogCorruptError(LaburnumpitchError):
    """The synced log is corrupt before its tail; the replica refuses to start."""

    code = "log_corrupt"


class ChangeDelayedError(LaburnumpitchError):
    """A change cannot be acknowledged yet; the same call may succeed later."""

    code = "change_delayed"
    status = 503
    run = UNKNOWN


class VersionConflictError(LaburnumpitchError):
    """A section changed since the operator read it; the detail has the current text."""

    code = "version_conflict"
    status = 409


class InvalidDocumentError(LaburnumpitchError):
    """The document violates a rule; the detail has the path of the field."""

    code = "invalid_document"
    status = 422


class NotStoreOwnerError(LaburnumpitchError):
    """The called node is not the owner of this store."""

    code = "store_not_kept"
    status = 503


class NotCoordinatorError(LaburnumpitchError):
    """The called node is not the coordinator of this service."""

    code = "not_coordinator"
    status = 503


class InvalidConfigurationError(LaburnumpitchError):
    """A configuration cannot be parsed completely, or violates a rule."""

    code = "invalid_configuration"
    status = 400


class ShardMovedError(LaburnumpitchError):
    """No active node owns the store, or the called node does not."""

    code = "shard_moved"
    status = 503


def get_error_classes() -> dict[str, type[LaburnumpitchError]]:
    """Return the error classes by code; the first class of a code stands for it."""
    classes_by_code: dict[str, type[LaburnumpitchError]] = {}
    pending: list[type[LaburnumpitchError]] = [LaburnumpitchError]
    while pending:
        error_class = pending.pop(0)
        classes_by_code.setdefault(error_class.code, error_class)
        pending.extend(error_class.__subclasses__())
    return classes_by_code
