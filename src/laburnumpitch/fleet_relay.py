"""The components of a fleet's node that relay clients' requests."""

from __future__ import annotations

import random
import time

from .clock_sources import get_boottime_s
from .fleet.engine_client import EngineClient
from .fleet.explain_messages import ExplainPlace
from .fleet.fleet_view import FleetView
from .fleet.leader_client import LeaderClient
from .fleet.messages import (
    CancelSaves,
    FindStream,
    GrantContext,
    PlaceCall,
    PlaceProgress,
    StreamBegun,
)
from .fleet.store_client import StoreClient
from .fleet.store_owners import StoreOwners
from .metrics import Metrics
from .platform.http_headers import HeaderTranslator
from .platform.settings_file import FleetSettings
from .policy.cold_admission import ColdBounds
from .relay.cold_targets import ColdTargets
from .relay.context_planner import ContextPlanner
from .relay.coordinator import Coordinator
from .relay.dispatcher import Dispatcher
from .relay.evacuation_watch import EvacuationWatch
from .relay.explanation import Explainer
from .relay.incarnation_check import IncarnationCheck
from .relay.placement_client import PlacementClient
from .relay.placement_explanation import PlacementExplanations
from .relay.region_rules import RegionRules
from .relay.relay_api import RelayApi
from .relay.repeated_sends import make_repeated_sends
from .relay.retry_limiter import RetryLimiter
from .relay.services import RelayServices
from .relay.stream_origins import StreamOrigins
from .relay.target_catalog import TargetCatalog
from .relay.target_statistics import TargetStatistics
from .transport.rpc import RpcPool, RpcServer


class FleetRelay:
    """Makes and closes the components.

    Args:
        settings: Settings of the node.
        fleet_view: The node's copy of the fleet's state.
        store_client: Calls stores.
        engine_client: Reads engines' reports.
        leader_client: Finds and calls the leader.
        pool: Connections to other nodes.
        metrics: Records measurements.
    """

    def __init__(
        self,
        settings: FleetSettings,
        fleet_view: FleetView,
        store_client: StoreClient,
        engine_client: EngineClient,
        leader_client: LeaderClient,
        pool: RpcPool,
        metrics: Metrics,
    ) -> None:
        random_source = random.Random()
        port = settings.rpc_port
        get_time_s = time.monotonic
        statistics = TargetStatistics(get_time_s)
        fleet_view.get_local_loads = statistics.get_loads
        self.region_rules = RegionRules(
            fleet_view, settings.regions_by_data_centre, metrics
        )
        catalog = TargetCatalog(
            fleet_view,
            statistics,
            get_time_s,
            settings.outdated_weights_s,
            settings.drain_s,
            self.region_rules,
            ColdTargets(
                fleet_view,
                statistics,
                get_time_s,
                ColdBounds(settings.cold_overrun, settings.cold_slack),
                metrics,
            ),
        )
        self.coordinator = Coordinator(catalog, get_time_s, random_source)
        self.placement_client = PlacementClient(
            fleet_view, self.coordinator, pool, port, metrics, get_time_s
        )
        self.dispatcher = Dispatcher(
            catalog, self.placement_client, get_time_s, random_source
        )
        EvacuationWatch(fleet_view, metrics)
        retry_limiter = RetryLimiter(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_s,
            lambda: fleet_view.node_count,
            get_time_s,
        )
        self.store_owners = StoreOwners(fleet_view, store_client, get_boottime_s)
        planner = ContextPlanner(
            fleet_view, self.store_owners, pool, port, metrics, self.region_rules
        )
        self.stream_origins = StreamOrigins(fleet_view, pool, port, metrics, get_time_s)
        self.services = RelayServices(
            fleet_view,
            self.dispatcher,
            planner,
            statistics,
            HeaderTranslator(),
            retry_limiter,
            self.stream_origins,
            IncarnationCheck(engine_client.read_report, get_boottime_s),
            leader_client,
            metrics,
            get_time_s,
            make_repeated_sends(settings.repeated_sends_share, metrics, get_time_s),
        )
        self.api = RelayApi(self.services, random_source)
        self.explanations = PlacementExplanations(self.coordinator, self.dispatcher)
        self.explainer = Explainer(
            self.api, self.placement_client, self.explanations, pool, port, metrics
        )

    def register(self, server: RpcServer) -> None:
        """Register the handlers of other nodes' messages at a server."""
        server.on_direct(GrantContext, self.store_owners.on_grant)
        server.on_direct(CancelSaves, self.store_owners.on_cancel_saves)
        server.on_direct(PlaceCall, self.coordinator.on_place_call)
        server.on(ExplainPlace, self.explanations.on_explain_place)
        server.on_direct(PlaceProgress, self.coordinator.on_place_progress)
        server.on_direct(StreamBegun, self.stream_origins.on_stream_begun)
        server.on_direct(FindStream, self.stream_origins.on_find_stream)

    async def close(self) -> None:
        """Stop the components."""
        await self.store_owners.close()
        self.dispatcher.close()
        self.placement_client.close()
        self.services.close()
