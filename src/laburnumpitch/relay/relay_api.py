"""Handles clients' requests: admits, relays and refuses them."""

from __future__ import annotations

import random

from ..errors import (
    DrainingError,
    EvacuatedError,
    InternalError,
    LaburnumpitchError,
    NoLeaseError,
    NoTargetError,
    NotFoundError,
    OverloadedError,
    QuarantinedError,
    UnauthenticatedError,
)
from ..transport.http_server import HttpRequest, Responder
from .configuration import Route, RoutingConfiguration
from .relay_run import RelayRun
from .request import AdmittedRequest, RequestMetadata
from .services import RelayServices

READY_RETRY_AFTER_S = (0.25, 0.7)
"""Bounds of the random delay after which a client should retry if no target could
take its request; it is spread so that refused clients do not retry together."""

UNREADY_RETRY_AFTER_S = (0.8, 1.5)
"""The same for other refusals, such as those of a node without a configuration."""

QUARANTINE_STATUS = 503
UNKNOWN_RUN_STATUS = 502
"""Status after an unexpected error: it does not state whether the request ran."""

DELIVERED_LOG_INTERVAL = 20
"""Number of delivered requests for each one that is logged."""


def get_retry_after_bounds_s(error: LaburnumpitchError) -> tuple[float, float]:
    """Return the bounds of the delay after which a refused client should retry.

    Other nodes can take a request that a stopping one refuses, at once.
    """
    if isinstance(error, DrainingError):
        return 0.0, 0.0
    is_ready = isinstance(error, (NoTargetError, OverloadedError))
    if isinstance(error, EvacuatedError):
        # Targets return at an operator's order, not when one of them is free.
        is_ready = False
    return READY_RETRY_AFTER_S if is_ready else UNREADY_RETRY_AFTER_S


def cap_retry_after_s(retry_after_s: float, remaining_s: float) -> float:
    """Limit a delay to a third of the time that the client still waits."""
    return max(0.0, min(retry_after_s, remaining_s / 3))


class RelayApi:
    """The HTTP interface to clients.

    Args:
        services: Services that all runs share.
        random_source: Splits routes by weight and spreads retries.
    """

    def __init__(self, services: RelayServices, random_source: random.Random) -> None:
        self.services = services
        self.random = random_source
        self.delivered = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Relay one request, or refuse it."""
        request_id = self.services.translator.get_request_id(request)
        run = None
        try:
            admitted = self.admit(request)
            if admitted.is_take_up:
                admitted = await self.services.stream_origins.bind(admitted)
            run = RelayRun(self.services, admitted, responder)
            await self.services.stop_deadline.run(run.serve())
            self.record_delivered(run)
        except LaburnumpitchError as error:
            self.log_failure(request_id, run, error)
            if responder.has_started:
                # The broken stream does not state whether the request ran.
                return
            await self.refuse(request_id, responder, run, error)
        except Exception as error:
            if responder.has_started and isinstance(error, ConnectionError):
                # The client has disconnected.
                raise
            self.services.metrics.count("request.failed")
            self.services.log.exception("request_failed", request=request_id)
            if not responder.has_started:
                failure = InternalError(repr(error))
                await self.refuse(request_id, responder, run, failure)

    def admit(self, request: HttpRequest) -> AdmittedRequest:
        """Check a request against the configuration in force, and count it.

        Raises:
            LaburnumpitchError: If it is not allowed.
        """
        configuration = self.get_configuration()
        metadata = self.services.translator.read_request(request)
        admitted = self.check(configuration, request, metadata)
        self.services.retry_limiter.record_request(admitted.service)
        self.services.metrics.count("request.accepted")
        return admitted

    def get_configuration(self) -> RoutingConfiguration:
        """Return the configuration in force.

        Raises:
            NoLeaseError: If there is none yet.
        """
        configuration = self.services.fleet_view.configuration
        if configuration is None:
            raise NoLeaseError("no configuration yet")
        return configuration

    def check(
        self,
        configuration: RoutingConfiguration,
        request: HttpRequest,
        metadata: RequestMetadata,
    ) -> AdmittedRequest:
        """Return a request with its route, service and organisation.

        Raises:
            LaburnumpitchError: If it is not allowed.
        """
        route = configuration.find_route(metadata.host, request.path)
        if route is None:
            raise NotFoundError("no route for the host and path")
        organisation = None
        if configuration.requires_api_keys and not route.is_anonymous:
            organisation = configuration.organisations_by_key.get(metadata.api_key)
            if organisation is None:
                raise UnauthenticatedError("unknown API key")
        service = self.choose_service(configuration, route)
        admitted = AdmittedRequest(
            request, metadata, route, service, organisation, configuration.version
        )
        self.services.stop_deadline.check(admitted.timeout_s, route)
        self.services.crash_reports.check(admitted)
        return admitted

    def choose_service(self, configuration: RoutingConfiguration, route: Route) -> str:
        """Return one of a route's services at random, in proportion to the weights."""
        shares = [share for share in route.shares if share.weight > 0]
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self.random.choices(shares, weights)[0].service

    def choose_status(self, run: RelayRun | None, error: LaburnumpitchError) -> int:
        """Return the status of a refusal.

        503 states that the request has not run; it is chosen only if that is certain.
        """
        if run is not None and run.may_have_run:
            return 504 if run.remaining_s <= 0 else 502
        if isinstance(error, InternalError):
            return UNKNOWN_RUN_STATUS
        if isinstance(error, QuarantinedError):
            return QUARANTINE_STATUS
        if run is not None and error.status >= 500:
            return 503
        return error.status

    async def refuse(
        self,
        request_id: str,
        responder: Responder,
        run: RelayRun | None,
        error: LaburnumpitchError,
    ) -> None:
        """Answer a request that was not relayed, or whose targets failed."""
        status = self.choose_status(run, error)
        retry_after_s = None
        if status == 503:
            retry_after_s = self.choose_retry_after_s(run, error)
        headers = self.services.translator.make_refusal_headers(
            request_id, retry_after_s
        )
        await responder.send(status, headers, error.code.encode())

    def choose_retry_after_s(
        self, run: RelayRun | None, error: LaburnumpitchError
    ) -> float:
        """Return the delay after which a client should retry.

        It is at most a third of the time that the client still waits. Other nodes can
        take a request that a stopping one refuses, at once.
        """
        retry_after_s = self.random.uniform(*get_retry_after_bounds_s(error))
        if run is None:
            return retry_after_s
        return cap_retry_after_s(retry_after_s, run.remaining_s)

    def record_delivered(self, run: RelayRun) -> None:
        """Count a delivered answer; log some, and each that needed a retry."""
        services = self.services
        duration_s = services.get_time_s() - run.started_s
        services.metrics.count("request.completed")
        services.metrics.record_duration("request.duration", duration_s)
        self.delivered += 1
        if self.delivered % DELIVERED_LOG_INTERVAL and not run.excluded:
            return
        services.log.info(
            "request_delivered",
            request=run.admitted.metadata.request_id,
            route=run.route.name,
            target=run.last_target_id,
            ms=round(duration_s * 1000),
            tried=len(run.excluded) + 1,
            configuration=run.admitted.configuration_version,
            delivered=self.delivered,
        )

    def log_failure(
        self, request_id: str, run: RelayRun | None, error: LaburnumpitchError
    ) -> None:
        """Log a request that was not delivered."""
        services = self.services
        has_run = run is not None and run.may_have_run
        services.metrics.count("request.failed" if has_run else "request.refused")
        if isinstance(error, EvacuatedError):
            services.metrics.count("evacuation.refused")
        services.log.info(
            "request_failed" if has_run else "request_refused",
            request=request_id,
            code=error.code,
            detail=error.detail,
            route=run.route.name if run else None,
            service=run.admitted.service if run else None,
            waiting=services.dispatcher.count_queued(),
            tried=run.last_target_id if run else None,
            remaining_ms=round(run.remaining_s * 1000) if run else None,
            configuration=run.admitted.configuration_version if run else None,
        )
