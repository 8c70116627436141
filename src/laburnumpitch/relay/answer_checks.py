"""Checks of a target's answer before any of it may reach a client."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NoReturn

from ..errors import MalformedAnswerError, TargetRefusedError
from ..fleet.messages import TargetRecord
from .request import AnswerMetadata
from .target_statistics import TargetStatistics

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer that is read completely before it is delivered."""

MAX_STREAM_BYTES = 64 * 1024 * 1024
"""Maximum size of a stream, of which a node holds one event at a time."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that tell a client that its request has not run. A target's own answer with
one of them is not passed on, unless the target confirms that it did not run."""


def is_own_refusal(
    metadata: AnswerMetadata, request_id: str, is_first_answer: bool
) -> bool:
    """Whether a target states that it did not run this attempt of a request.

    A refusal of another attempt says nothing about this one. One that names no attempt
    may be of any request that was sent on its connection.

    Args:
        metadata: What the answer states.
        request_id: Identifier of the attempt.
        is_first_answer: Whether nothing else was sent on the connection before.
    """
    if not metadata.is_not_run:
        return False
    is_unnamed = not metadata.request_id
    return metadata.request_id == request_id or (is_unnamed and is_first_answer)


def is_of_target(metadata: AnswerMetadata, target_id: str) -> bool:
    """Whether an answer's statements about its sender are about a target.

    Any answer of a target states them, also one to another attempt. Whoever has
    replaced the target at its address says nothing about it.
    """
    is_named = metadata.instance_id == target_id
    return is_named or not (metadata.instance_id or metadata.is_misdirected)


def check_answer(metadata: AnswerMetadata, request_id: str) -> None:
    """Check that an answer belongs to a request and has its own bytes.

    Raises:
        MalformedAnswerError: If it does not, as with a late copy of another answer.
    """
    if metadata.request_id != request_id:
        raise MalformedAnswerError("the answer is for another request")
    if metadata.is_encoded:
        raise MalformedAnswerError("the body has a content encoding")


def raise_not_run(
    statistics: TargetStatistics,
    target: TargetRecord,
    metadata: AnswerMetadata,
    model: str,
    weight_versions: Mapping[str, int],
) -> NoReturn:
    """Record why a target did not run a request.

    Args:
        statistics: This node's statistics of each target.
        target: The target.
        metadata: What its answer states.
        model: Model of the request.
        weight_versions: The newest weight version of each model.

    Raises:
        TargetRefusedError: Always.
    """
    if not metadata.is_misdirected:
        statistics.record_rejection(target)
        raise TargetRefusedError("the target is full", sent=False)
    if metadata.instance_id and metadata.instance_id != target.target_id:
        statistics.mark_replaced(target)
        raise TargetRefusedError("another target has the address", sent=False)
    version = metadata.weight_version or weight_versions.get(model)
    if version is not None:
        statistics.record_version(target, model, version)
    statistics.record_rejection(target)
    raise TargetRefusedError("the target has another weight version", sent=False)
