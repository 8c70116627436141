"""Sends a request to a target."""

from __future__ import annotations

import math

from ..errors import DeadlineExceededError
from ..fleet.messages import TargetRecord
from ..transport.http_client import HttpAnswer
from .answer_checks import MAX_ANSWER_BYTES, MAX_STREAM_BYTES
from .answer_deadlines import AnswerDeadlines
from .configuration import STREAMING
from .request import AdmittedRequest, ContextPlan, TargetRequest
from .services import RelayServices
from .timeouts import (
    CONNECT_TIMEOUT_S,
    MAX_IDLE_NON_RETRYABLE_S,
    MAX_IDLE_RETRYABLE_S,
    PROBE_TIMEOUT_S,
    get_start_timeout_s,
)


class TargetSender:
    """Sends one request, to one target after another.

    Args:
        services: Services that all runs share.
        deadlines: Deadlines of the targets' answers.
    """

    def __init__(self, services: RelayServices, deadlines: AnswerDeadlines) -> None:
        self.services = services
        self.deadlines = deadlines
        self.context: ContextPlan | None = None
        """Where the last target reads and saves kept context."""
        self.written_s: float | None = None
        """When the first byte of the request was written; None before that."""

    async def send(
        self,
        target: TargetRecord,
        admitted: AdmittedRequest,
        *,
        resume_after: str,
        is_retry_allowed: bool,
        is_rejected: bool,
        is_bound: bool,
    ) -> HttpAnswer:
        """Write the request and return the answer once its headers have arrived.

        Args:
            target: The target.
            admitted: The request.
            resume_after: Event after which to resume a stream.
            is_retry_allowed: Whether the request may run again.
            is_rejected: Whether a target rejected this attempt. A copy of the rejection
                may come on that target's connection, and another target may have the
                same address, so a new connection is opened.
            is_bound: Whether the request goes on with a stream, which only the target's
                build may do.

        Raises:
            TargetError: If no answer arrived.
        """
        services, deadlines = self.services, self.deadlines
        request, route = admitted.request, admitted.route
        self.context = None
        target_request = await self.make_target_request(target, admitted, resume_after)
        headers = services.translator.make_headers(admitted, target_request)
        is_probe = services.statistics.is_possibly_unreachable(target)
        max_idle_s = MAX_IDLE_NON_RETRYABLE_S
        if is_probe or is_rejected:
            # A new connection also fails soon if the target is unreachable.
            max_idle_s = 0.0
        elif is_retry_allowed:
            max_idle_s = MAX_IDLE_RETRYABLE_S
        path = f"{request.path}?{request.query}" if request.query else request.path
        catalog = services.dispatcher.catalog
        checks = [lambda: catalog.check_in_service(target)]
        if is_bound and catalog.get_engine_spec(target.service):
            checks.append(await services.incarnation_check.confirm(target))

        def check_before_write() -> None:
            for check in checks:
                check()
            self.written_s = services.get_time_s()

        before_write = services.dispatcher.cold_sends.add_check(
            admitted, target, check_before_write
        )
        return await services.clients.get(target.address).request(
            request.method,
            path,
            headers,
            request.body,
            first_byte_timeout_s=deadlines.choose_timeout_s(get_start_timeout_s(route)),
            gap_timeout_s=math.inf,
            total_timeout_s=max(0.0, deadlines.remaining_s),
            max_answer_bytes=(
                MAX_STREAM_BYTES if route.kind == STREAMING else MAX_ANSWER_BYTES
            ),
            max_idle_s=max_idle_s,
            before_write=before_write,
            connect_timeout_s=PROBE_TIMEOUT_S if is_probe else CONNECT_TIMEOUT_S,
            host=request.get_header("host"),
            extend_deadline=deadlines.extend,
        )

    async def make_target_request(
        self, target: TargetRecord, admitted: AdmittedRequest, resume_after: str
    ) -> TargetRequest:
        """Return what a target receives in addition to the client's request.

        Raises:
            DeadlineExceededError: If the deadline has passed.
            QuarantinedError: If the request crashes targets, as is known by now.
        """
        services, remaining_s = self.services, self.deadlines.remaining_s
        if remaining_s <= 0:
            raise DeadlineExceededError("the deadline passed before sending")
        services.crash_reports.check(admitted)
        version = None
        if admitted.route.has_context:
            stats = services.statistics.get(target.target_id)
            version = services.dispatcher.catalog.find_weight_version(
                target, stats, admitted.metadata.model
            )
            self.context = await services.planner.plan(admitted, target, version)
        organisation = admitted.organisation
        return TargetRequest(
            target=target,
            remaining_s=self.deadlines.remaining_s,
            organisation=organisation.name if organisation else "",
            # The key may have been read under an earlier configuration.
            drops_api_key=organisation is not None or services.requires_api_keys(),
            priority_class=admitted.priority_class,
            weight_version=version,
            context=self.context,
            resume_after=resume_after,
        )
