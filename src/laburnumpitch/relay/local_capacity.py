"""What a node knows itself of the load and the capacity of targets."""

from __future__ import annotations

from ..fleet.load_totals import NO_LOAD
from ..fleet.messages import FleetLoad, PlaceCall, TargetRecord
from ..policy.capacity import TargetCapacity, has_capacity
from .target_catalog import TargetCatalog


def has_local_capacity(
    catalog: TargetCatalog, target: TargetRecord, call: PlaceCall
) -> bool:
    """Whether this node may send one more request to a target."""
    stats = catalog.statistics.get(target.target_id)
    own_load = FleetLoad(stats.running, stats.running_tokens)
    other_load = catalog.fleet_view.other_loads.get(target.target_id, NO_LOAD)
    engine = catalog.get_engine_spec(target.service)
    capacity = TargetCapacity(target.slots, engine.context_tokens if engine else None)
    nodes = catalog.fleet_view.node_count
    return has_capacity(own_load, other_load, call.prompt_tokens, capacity, nodes)
