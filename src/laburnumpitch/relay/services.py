"""Services that all runs of a node share."""

from __future__ import annotations

from collections.abc import Callable

from ..errors import TargetError
from ..fleet.fleet_view import FleetView
from ..fleet.leader_client import LeaderClient
from ..fleet.messages import TargetLeaving, TargetRecord, TargetUnreachable
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.http_client import HttpClientPool
from ..transport.http_server import Headers
from .answer_checks import is_of_target
from .context_planner import ContextPlanner
from .crash_reports import CrashReports
from .dispatcher import Dispatcher
from .incarnation_check import IncarnationCheck
from .leader_notices import LeaderNotices
from .repeated_sends import RepeatedSends
from .request import AdmittedRequest, AnswerMetadata, Translator
from .retry_limiter import RetryLimiter
from .stop_deadline import StopDeadline
from .stream_origins import StreamOrigins
from .target_statistics import TargetStatistics

NOTICE_INTERVAL_S = 0.7
"""Least time between two notices that the same target is unreachable."""


class RelayServices:
    """Services that the runs of a node share.

    Args:
        fleet_view: This node's copy of the fleet's state.
        dispatcher: Assigns requests to targets.
        planner: Plans where targets read and save kept context.
        statistics: This node's statistics of each target.
        translator: Reads and writes the platform's headers.
        retry_limiter: Limits retries.
        stream_origins: Remembers which build began each stream.
        incarnation_check: Checks that a target has not restarted.
        leader_client: Finds and calls the leader.
        metrics: Records measurements.
        get_time_s: Monotonic time.
        repeated_sends: Requests that are sent to a second target; None if none are.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        dispatcher: Dispatcher,
        planner: ContextPlanner,
        statistics: TargetStatistics,
        translator: Translator,
        retry_limiter: RetryLimiter,
        stream_origins: StreamOrigins,
        incarnation_check: IncarnationCheck,
        leader_client: LeaderClient,
        metrics: Metrics,
        get_time_s: Callable[[], float],
        repeated_sends: RepeatedSends | None = None,
    ) -> None:
        self.fleet_view = fleet_view
        self.dispatcher = dispatcher
        self.planner = planner
        self.statistics = statistics
        self.translator = translator
        self.retry_limiter = retry_limiter
        self.stream_origins = stream_origins
        self.incarnation_check = incarnation_check
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.repeated_sends = repeated_sends
        self.stop_deadline = StopDeadline(get_time_s)
        self.clients = HttpClientPool()
        self.notices = LeaderNotices(leader_client)
        self.crash_reports = CrashReports(
            fleet_view, self.clients, self.notices, get_time_s
        )
        self.notified_s: dict[str, float] = {}
        """When the leader was last notified that a target is unreachable."""
        self.log = get_logger()
        fleet_view.on_change.append(self.retain_clients)

    def close(self) -> None:
        """Close the connections to targets and cancel pending notices."""
        self.clients.close()
        self.notices.close()

    def retain_clients(self) -> None:
        """Close idle connections to addresses that no target has any more."""
        records = self.fleet_view.targets.get_records()
        self.clients.retain({record.address for record in records})

    def requires_api_keys(self) -> bool:
        """Whether requests need the key of an organisation, which stays here."""
        configuration = self.fleet_view.configuration
        return configuration is not None and configuration.requires_api_keys

    def is_retryable(self, admitted: AdmittedRequest) -> bool:
        """Whether a request may run more than once.

        Its route allowed that when it was admitted, and the route to which its path
        leads by the configuration in force still does, if there is one.
        """
        if not admitted.route.is_retryable:
            return False
        configuration = self.fleet_view.configuration
        if (
            configuration is None
            or configuration.version == admitted.configuration_version
        ):
            return True
        route = configuration.find_route(admitted.metadata.host, admitted.request.path)
        return route is None or route.is_retryable

    def make_answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of a target's answer that are passed to the client."""
        return self.translator.make_answer_headers(headers)

    def try_spend_retry(self, service: str) -> bool:
        """Count a retry if one is allowed, and return whether it is."""
        is_allowed = self.retry_limiter.try_spend(service)
        if is_allowed:
            self.metrics.count("request.retried")
        return is_allowed

    def record_first_event(self, duration_s: float) -> None:
        """Record the time to the first event."""
        self.metrics.record_duration("request.first_token", duration_s)

    def log_outcome(
        self,
        outcome: str,
        admitted: AdmittedRequest,
        target: TargetRecord,
        error: TargetError,
    ) -> None:
        """Log the outcome of sending a request to one target."""
        stats = self.statistics.get(target.target_id)
        self.log.info(
            f"sending_{outcome}",
            request=admitted.metadata.request_id,
            target=target.target_id,
            service=target.service,
            code=error.code,
            detail=error.detail,
            running=stats.running,
            failure_rate=round(stats.failure_rate, 2),
            silent=target.is_silent,
            view=self.fleet_view.sequence,
        )

    def record_statements(self, target: TargetRecord, metadata: AnswerMetadata) -> None:
        """Record what a target's own answer states of the target."""
        if is_of_target(metadata, target.target_id):
            self.dispatcher.catalog.cold.record_answer(target, metadata.cold_s)
            if metadata.is_leaving:
                self.record_leaving(target)

    def record_cold(self, target: TargetRecord, cold_s: float) -> None:
        """Record the remaining cold time that a target's report states."""
        self.dispatcher.catalog.cold.record_answer(target, cold_s)

    def record_leaving(self, target: TargetRecord) -> None:
        """Record that a target is leaving, and notify the leader until it knows."""
        leaving = self.dispatcher.catalog.leaving
        leaving.record(target)
        entry = self.fleet_view.targets.entries.get(target.target_id)
        if entry is None or entry.record.born_ms != target.born_ms:
            return
        is_known = entry.record.has_said_leaving or entry.record.is_leaving
        if not is_known and leaving.try_notify(target):
            self.notices.start(TargetLeaving(target.target_id, target.born_ms))

    def record_shedding(self, target: TargetRecord, duration_s: float) -> None:
        """Record that a target asks for no requests; offer queued ones elsewhere."""
        self.dispatcher.catalog.shedding.record(target, duration_s)
        self.dispatcher.wake_queues()

    def report_unreachable(
        self, target: TargetRecord, error: TargetError | None = None
    ) -> None:
        """Notify the leader that a target is unreachable, at a limited rate.

        Args:
            target: The target.
            error: How a request failed; None if the target is only silent.
        """
        if error is not None and (error.has_died or not error.sent):
            self.dispatcher.catalog.cold.record_unreachable(target)
        now_s = self.get_time_s()
        if (
            target.is_silent
            or now_s < self.notified_s.get(target.target_id, 0) + NOTICE_INTERVAL_S
        ):
            return
        self.notified_s[target.target_id] = now_s
        self.notices.start(TargetUnreachable(target.target_id))
