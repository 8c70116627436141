"""Explains where a request would go now, and why, without sending it."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from msgspec.structs import replace as replace_fields

from ..errors import (
    LaburnumpitchError,
    NoTargetError,
    OverloadedError,
    RpcTimeoutError,
)
from ..fleet.explain_messages import ExplainPlace, PlaceExplanation
from ..fleet.messages import PlaceCall
from ..logging import get_logger
from ..metrics import Metrics
from ..policy.regions import AllowedRegions
from ..transport.http_request import HttpRequest
from ..transport.rpc import RpcPool
from .configuration import Limits, Organisation, Route, Share, StoreSpec
from .placement_client import REQUEST_TIMEOUT_S, PlacementClient
from .placement_explanation import EXCLUDED_BY_CALLER, PlacementExplanations
from .relay_api import RelayApi, cap_retry_after_s, get_retry_after_bounds_s
from .request import AdmittedRequest, RequestMetadata

EXPLAIN_TIMEOUT_S = 0.5
"""Timeout of asking a coordinator; longer than that of a placement, so that a slow
coordinator is shown with its time."""

SEND, WAIT, REFUSE = "send", "wait", "refuse"


@dataclass(frozen=True)
class ExplainedRequest:
    """A request of which an operator asks where it would go."""

    method: str
    path: str
    metadata: RequestMetadata


@dataclass(frozen=True)
class Outcome:
    """What would become of the request."""

    action: str
    """`send`, `wait` (in the queue, then refused) or `refuse`."""
    target_id: str = ""
    max_wait_s: float = 0.0
    """Longest wait in the queue."""
    status: int = 0
    """Status of the refusal."""
    code: str = ""
    detail: str = ""
    retry_after_s: tuple[float, float] | None = None
    """Bounds of the delay that a refused client is told."""


@dataclass(frozen=True)
class ServiceExplanation:
    """Where the request would go at one of its route's services."""

    service: str
    share: float
    """Share of the route's requests that go to the service."""
    outcome: Outcome
    queued: int
    """Requests that wait at this node."""
    coordinator: str = ""
    """Host of the service's coordinator; empty if none would be called."""
    coordinator_ms: float = 0.0
    """Time of the coordinator's answer."""
    coordinator_error: str = ""
    """Why the coordinator's answer would not be used; empty if it is."""
    choice: PlaceExplanation | None = None
    """The choice that decides, of the coordinator or of this node."""
    store: StoreSpec | None = None
    """Store from which context would be read and to which it would be saved."""


@dataclass(frozen=True)
class Explanation:
    """Everything that is known about the request."""

    node: str
    data_centre: str
    region: str
    configuration_version: int
    leader_age_s: float
    """Time since the node was last in contact with the leader."""
    fleet_sequence: int
    """Number of the fleet's state that the node has."""
    route: Route | None = None
    organisation: str = ""
    """Empty without one."""
    organisation_regions: tuple[str, ...] = ()
    limits: Limits | None = None
    """Bounds of the configuration on the size of requests."""
    priority_class: int = 0
    timeout_s: float = 0.0
    allowed_regions: AllowedRegions = None
    services: list[ServiceExplanation] = field(default_factory=list)
    refusal: Outcome | None = None
    """Why the request would be refused before a target is looked for."""


class Explainer:
    """Explains requests by asking the functions that serve them.

    Args:
        api: The interface to clients.
        placement_client: Finds coordinators.
        explanations: Explains choices of this node.
        pool: Connections to other nodes.
        rpc_port: Port of every node.
        metrics: Records measurements.
        get_time_s: Monotonic time.
    """

    def __init__(
        self,
        api: RelayApi,
        placement_client: PlacementClient,
        explanations: PlacementExplanations,
        pool: RpcPool,
        rpc_port: int,
        metrics: Metrics,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.api = api
        self.services = api.services
        self.dispatcher = api.services.dispatcher
        self.catalog = self.dispatcher.catalog
        self.placement_client = placement_client
        self.explanations = explanations
        self.pool = pool
        self.rpc_port = rpc_port
        self.metrics = metrics
        self.get_time_s = get_time_s
        self.log = get_logger()

    async def explain(self, asked: ExplainedRequest) -> Explanation:
        """Explain where a request would go now."""
        self.metrics.count("explain.calls")
        explanation = await self.make_explanation(asked)
        outcomes = [s.outcome for s in explanation.services]
        if explanation.refusal is not None:
            outcomes.append(explanation.refusal)
        self.log.info(
            "request_explained",
            request=asked.metadata.request_id,
            path=asked.path,
            route=explanation.route.name if explanation.route else None,
            organisation=explanation.organisation,
            configuration=explanation.configuration_version,
            leader_age_s=round(explanation.leader_age_s, 2),
            outcome=",".join(o.action for o in outcomes),
            targets=",".join(o.target_id for o in outcomes),
            code=",".join(o.code for o in outcomes),
        )
        return explanation

    async def make_explanation(self, asked: ExplainedRequest) -> Explanation:
        """Return the explanation of a request."""
        fleet_view, rules = self.services.fleet_view, self.catalog.region_rules
        node = fleet_view.node
        configuration = fleet_view.configuration
        explanation = Explanation(
            node.host,
            node.data_centre,
            rules.get_region(node.data_centre),
            configuration.version if configuration else -1,
            fleet_view.get_contact_age_s(),
            fleet_view.sequence,
        )
        request = HttpRequest(asked.method, asked.path, "", [], b"", self.get_time_s())
        try:
            configuration = self.api.get_configuration()
            explanation = replace(
                explanation,
                route=configuration.find_route(asked.metadata.host, asked.path),
            )
            admitted = self.api.check(configuration, request, asked.metadata)
        except LaburnumpitchError as error:
            return replace(explanation, refusal=self.make_refusal(error, None))
        organisation = admitted.organisation or Organisation("", (), None, False)
        shares = [share for share in admitted.route.shares if share.weight > 0]
        total = sum(share.weight for share in shares)
        return replace(
            explanation,
            organisation=organisation.name,
            organisation_regions=organisation.allowed_regions,
            limits=configuration.limits,
            priority_class=admitted.priority_class,
            timeout_s=admitted.timeout_s,
            allowed_regions=rules.get_allowed_regions(admitted),
            services=[
                await self.explain_service(
                    replace(admitted, service=share.service),
                    replace(share, weight=share.weight / total),
                )
                for share in shares
            ],
        )

    async def explain_service(
        self, admitted: AdmittedRequest, share: Share
    ) -> ServiceExplanation:
        """Explain where a request would go at one service."""
        dispatcher = self.dispatcher
        build = admitted.build
        call = dispatcher.make_place_call(admitted, frozenset(), build)
        base = ServiceExplanation(
            admitted.service, share.weight, Outcome(WAIT), dispatcher.count_queued()
        )
        if not self.catalog.has_other_target(
            admitted.service, build, frozenset(), call.allowed_regions
        ):
            error = NoTargetError(f"{admitted.service} has no target")
            return replace(
                base,
                outcome=self.make_refusal(error, admitted.timeout_s),
                choice=await self.explanations.explain_local_choice(call),
            )
        explained = await self.ask(base, admitted, call)
        choice = explained.choice
        if dispatcher.has_queue_ahead(admitted, build):
            return self.let_wait(explained, admitted, "other requests are ahead")
        if not choice.chosen_id:
            detail = choice.blocked_by or "no target has capacity"
            return self.let_wait(explained, admitted, detail)
        store = None
        target = self.catalog.find_target(
            admitted.service, choice.chosen_id, build, call.allowed_regions
        )
        if target is not None and call.key:
            store = self.services.planner.find_store(admitted, target)
        return replace(explained, outcome=Outcome(SEND, choice.chosen_id), store=store)

    def let_wait(
        self, explained: ServiceExplanation, admitted: AdmittedRequest, detail: str
    ) -> ServiceExplanation:
        """Return the explanation of a request that would wait in the queue."""
        deadline_s = admitted.request.received_at_s + admitted.timeout_s
        wait_s = max(0.0, self.dispatcher.get_queue_wait_s(admitted, deadline_s))
        error = OverloadedError(detail)
        refusal = self.make_refusal(error, admitted.timeout_s - wait_s)
        outcome = replace(refusal, action=WAIT, max_wait_s=wait_s)
        return replace(explained, outcome=outcome)

    async def ask(
        self, base: ServiceExplanation, admitted: AdmittedRequest, call: PlaceCall
    ) -> ServiceExplanation:
        """Return the choice of the coordinator, or else of this node."""
        host = self.placement_client.find_coordinator(call.service)
        error = "not assigned, or did not answer lately"
        if host is not None:
            asked_s = self.get_time_s()
            base = replace(base, coordinator=host)
            try:
                choice = await self.ask_coordinator(host, call)
                duration_s = self.get_time_s() - asked_s
                base = replace(base, coordinator_ms=round(duration_s * 1000, 1))
                error = self.find_fault(choice, call, duration_s)
                if not error:
                    return replace(base, choice=self.name_own_exclusions(choice, call))
            except LaburnumpitchError as failure:
                error = failure.code
        blocked_by = ""
        if not self.dispatcher.fits_send_window(admitted):
            blocked_by = "this node has as many prompts in prefill as it may"
        choice = await self.explanations.explain_local_choice(call, blocked_by)
        return replace(base, coordinator_error=error, choice=choice)

    def name_own_exclusions(
        self, choice: PlaceExplanation, call: PlaceCall
    ) -> PlaceExplanation:
        """Return a coordinator's choice with this node's reasons of exclusion."""
        reasons = self.catalog.list_exclusions(call, by_node=True)
        targets = [
            (
                replace_fields(
                    target,
                    excluded_by=reasons.get(target.target_id, EXCLUDED_BY_CALLER),
                )
                if target.excluded_by == EXCLUDED_BY_CALLER
                else target
            )
            for target in choice.targets
        ]
        return replace_fields(choice, targets=targets)

    async def ask_coordinator(self, host: str, call: PlaceCall) -> PlaceExplanation:
        """Return the choice of a coordinator.

        Raises:
            LaburnumpitchError: If it does not answer, or is not the coordinator.
        """
        if host == self.services.fleet_view.node.host:
            return await self.explanations.explain_assignment(call)
        client = self.pool.get(f"{host}:{self.rpc_port}")
        return await client.call(ExplainPlace(call), EXPLAIN_TIMEOUT_S)

    def find_fault(
        self, choice: PlaceExplanation, call: PlaceCall, duration_s: float
    ) -> str:
        """Return why a coordinator's choice would not be used; empty if it is."""
        if duration_s > REQUEST_TIMEOUT_S:
            return RpcTimeoutError.code
        if not choice.chosen_id:
            return ""
        target = self.catalog.find_target(
            call.service, choice.chosen_id, call.build, call.allowed_regions
        )
        if target is None:
            return f"{choice.chosen_id} gets no requests of this node"
        reason = self.catalog.find_exclusion(target, call)
        return f"{choice.chosen_id} is excluded here: {reason}" if reason else ""

    def make_refusal(
        self, error: LaburnumpitchError, remaining_s: float | None
    ) -> Outcome:
        """Return the refusal with which an error would be answered.

        Args:
            error: The error.
            remaining_s: Time that the client still waits by then; None if unknown.
        """
        status = self.api.choose_status(None, error)
        retry_after_s = None
        if status == 503:
            low_s, high_s = get_retry_after_bounds_s(error)
            if remaining_s is not None:
                low_s = cap_retry_after_s(low_s, remaining_s)
                high_s = cap_retry_after_s(high_s, remaining_s)
            retry_after_s = (low_s, high_s)
        return Outcome(
            REFUSE,
            status=status,
            code=error.code,
            detail=error.detail,
            retry_after_s=retry_after_s,
        )
