"""Plans from where a target reads a request's kept context and where it saves it."""

from __future__ import annotations

from urllib.parse import quote

from ..errors import LaburnumpitchError
from ..fleet.fleet_view import FleetView
from ..fleet.messages import (
    CancelSaves,
    ContextGrant,
    GrantContext,
    TargetRecord,
)
from ..fleet.store_owners import StoreOwners
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.rpc import RpcPool
from .configuration import Organisation, RoutingConfiguration, StoreSpec
from .region_rules import RegionRules
from .request import AdmittedRequest, ContextPlan
from .store_choice import find_store

GRANT_TIMEOUT_S = 0.03
"""Timeout of a call to a store owner; computing the prompt's context takes about as
long as this."""


class ContextPlanner:
    """Requests grants to read and save kept context from the store's owner.

    Args:
        fleet_view: This node's copy of the fleet's state.
        store_owners: The stores that this node manages.
        pool: Connections to other nodes.
        rpc_port: Port of every node.
        metrics: Records measurements.
        region_rules: Finds where requests may be served.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        store_owners: StoreOwners,
        pool: RpcPool,
        rpc_port: int,
        metrics: Metrics,
        region_rules: RegionRules,
    ) -> None:
        self.fleet_view = fleet_view
        self.store_owners = store_owners
        self.pool = pool
        self.rpc_port = rpc_port
        self.metrics = metrics
        self.region_rules = region_rules
        self.log = get_logger()

    async def plan(
        self, admitted: AdmittedRequest, target: TargetRecord, version: int | None
    ) -> ContextPlan:
        """Return the plan for sending a request to a target.

        Args:
            admitted: The request.
            target: Where it is sent.
            version: The target's weight version, or None if it is unknown; the plan
                uses no store then.
        """
        salt = make_cache_salt(
            self.fleet_view.configuration, admitted.organisation, target, version
        )
        store = None
        if version is not None:
            store = self.find_store(admitted, target)
        if store is None:
            return ContextPlan(salt)
        pieces = admitted.metadata.shared_pieces
        call = GrantContext(
            store.address,
            salt,
            [piece.piece_id for piece in pieces],
            [piece.tokens for piece in pieces],
            target.data_centre,
        )
        grant = await self.request_grant(call)
        if grant is None:
            return ContextPlan(salt)
        # The last piece is the request's own. Its context stays at the target.
        return ContextPlan(
            salt,
            tuple(
                store.address if is_allowed else ""
                for is_allowed in [*grant.may_read, False]
            ),
            tuple(
                store.address if is_allowed else ""
                for is_allowed in [*grant.may_save, False]
            ),
            grant.read_until_ms,
        )

    def find_store(
        self, admitted: AdmittedRequest, target: TargetRecord
    ) -> StoreSpec | None:
        """Return the store for a request's context, or None if it may use none."""
        allowed_regions = self.region_rules.get_allowed_regions(admitted)
        if not self.region_rules.allows(target.data_centre, allowed_regions):
            # The restriction is newer than the choice of the target.
            return None
        key = admitted.metadata.affinity_key
        configuration = self.fleet_view.configuration
        return find_store(configuration, key, self.region_rules, allowed_regions)

    def cancel_saves(self, admitted: AdmittedRequest, plan: ContextPlan | None) -> None:
        """Tell a store's owner that a request was not sent to its target."""
        if plan is None or not any(plan.destinations):
            return
        address = next(filter(None, plan.destinations))
        host = self.fleet_view.assignments.get(address)
        pieces = admitted.metadata.pieces
        names = [
            piece.piece_id
            for piece, destination in zip(pieces, plan.destinations, strict=True)
            if destination
        ]
        notice = CancelSaves(address, plan.salt, names)
        if host == self.fleet_view.node.host:
            self.store_owners.cancel_saves(notice)
        elif host is not None:
            self.pool.get(f"{host}:{self.rpc_port}").notify(notice)

    async def request_grant(self, call: GrantContext) -> ContextGrant | None:
        """Return the store owner's grant, or None if none arrives in time."""
        host = self.fleet_view.assignments.get(call.address)
        if host is None:
            return None
        try:
            if host == self.fleet_view.node.host:
                return await self.store_owners.on_grant(call)
            client = self.pool.get(f"{host}:{self.rpc_port}")
            return await client.call(call, GRANT_TIMEOUT_S)
        except LaburnumpitchError as error:
            # The request does not fail: its context is recomputed. The missing
            # grant is counted, and logged at debug level.
            self.metrics.count("context.lookup_timeout")
            self.log.debug("grant_missing", address=call.address, code=error.code)
            return None


def make_cache_salt(
    configuration: RoutingConfiguration,
    requester: Organisation | None,
    target: TargetRecord,
    version: int | None,
) -> str:
    """Return the salt that separates weight versions, and who may share context.

    An organisation shares context only if the configuration in force says so. That it
    did when the request was admitted is not enough: a request may wait for a target,
    or go on at another one, and what it makes belongs to the present epoch.

    Args:
        configuration: The configuration in force.
        requester: The request's organisation; None without one.
        target: Where the request is sent.
        version: The target's weight version, or None if it is unknown.
    """
    salt = f"v{version}" if version is not None else f"t{target.target_id}"
    if requester is not None and requester.name not in configuration.sharing_names:
        # Quoted, so that each name fits in a header and keeps its own salt.
        return f"{salt}/{quote(requester.name, safe='')}"
    if configuration.context_epoch:
        # No quoted name contains the separator.
        return f"{salt}+{configuration.context_epoch}"
    return salt
