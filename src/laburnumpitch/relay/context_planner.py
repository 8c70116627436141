"""Plans where a target finds and leaves the kept context of a request."""

from __future__ import annotations

from ..errors import LaburnumpitchError
from ..fleet.fleet_view import FleetView
from ..fleet.messages import ContextGrant, GrantContext, TargetRecord
from ..fleet.store_owners import StoreOwners
from ..logging import get_logger
from ..metrics import Metrics
from ..transport.rpc import RpcPool
from .request import Admitted, ContextPlan
from .store_choice import find_store

GRANT_TIMEOUT_S = 0.03
"""Time for a keeper's answer; reading the prompt takes about as long."""


class ContextPlanner:
    """Asks the keeper of a prompt's store what may be read and saved.

    Args:
        follower: This node's view of the fleet.
        keepers: The keepers of this node.
        pool: Connections to other nodes.
        rpc_port: Port of every node.
        metrics: Where measurements go.
    """

    def __init__(
        self,
        follower: FleetView,
        keepers: StoreOwners,
        pool: RpcPool,
        rpc_port: int,
        metrics: Metrics,
    ) -> None:
        self.follower = follower
        self.keepers = keepers
        self.pool = pool
        self.rpc_port = rpc_port
        self.metrics = metrics
        self.log = get_logger()

    async def plan(
        self, admitted: Admitted, target: TargetRecord, version: int | None
    ) -> ContextPlan:
        """Return the plan for one sending."""
        salt = make_salt(admitted, target, version)
        store = None
        if version is not None:
            key = admitted.facts.affinity_key
            store = find_store(self.follower.configuration, key)
        if store is None:
            return ContextPlan(salt)
        pieces = admitted.facts.shared_pieces
        call = GrantContext(
            store.address,
            salt,
            [piece.piece_id for piece in pieces],
            [piece.tokens for piece in pieces],
            target.data_centre,
        )
        grant = await self.ask(call)
        if grant is None:
            return ContextPlan(salt)
        # The last piece is the request's own and is left where it was read.
        return ContextPlan(
            salt,
            tuple(store.address if may else "" for may in [*grant.may_read, False]),
            tuple(store.address if may else "" for may in [*grant.may_save, False]),
            grant.read_until_ms,
        )

    async def ask(self, call: GrantContext) -> ContextGrant | None:
        """Return a keeper's answer, or None without one in time."""
        host = self.follower.assignments.get(call.address)
        if host is None:
            return None
        try:
            if host == self.follower.node.host:
                return await self.keepers.on_grant(call)
            client = self.pool.get(f"{host}:{self.rpc_port}")
            return await client.call(call, GRANT_TIMEOUT_S)
        except LaburnumpitchError as error:
            # Counted, and logged where it may be looked for; it is no failure of
            # the request, which is read as without kept context.
            self.metrics.count("context.lookup_timeout")
            self.log.debug("grant_missing", address=call.address, code=error.code)
            return None


def make_salt(admitted: Admitted, target: TargetRecord, version: int | None) -> str:
    """Return the text that keeps versions and isolated organisations apart."""
    salt = f"v{version}" if version is not None else f"t{target.target_id}"
    owner = admitted.organisation
    if owner is not None and owner.is_isolated:
        salt = f"{salt}/{owner.name}"
    return salt
