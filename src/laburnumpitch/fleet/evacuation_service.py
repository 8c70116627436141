"""Changes the evacuation of data centres, on the leader."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..control.replica import Replica
from ..errors import ChangeDelayedError, NotFoundError
from ..logging import get_logger
from ..policy.evacuation import MAX_NAMES
from ..transport.rpc import RpcServer
from .evacuation_messages import (
    EvacuationAnswer,
    PutEvacuation,
    ReadEvacuation,
    StoreEvacuation,
)
from .fleet_publisher import FleetPublisher

CONFIRM_ROUNDS = 3
"""Waits for the nodes to confirm a change, each of `CONFIRM_TIMEOUT_S`; longer together
than a node that does not call any more counts as reachable."""

LeaderState = Callable[[], tuple[Replica, FleetPublisher]]


class EvacuationService:
    """Commits evacuations, and waits until every reachable node has them.

    Args:
        get_leader_state: Returns the replica and the publisher of a leader; raises
            `NotLeaderError` on other nodes.
        list_data_centres: Returns the data centres that this node knows of.
        has_configuration: Returns whether this node has a configuration.
    """

    def __init__(
        self,
        get_leader_state: LeaderState,
        list_data_centres: Callable[[], Iterable[str]],
        has_configuration: Callable[[], bool],
    ) -> None:
        self.get_leader_state = get_leader_state
        self.list_data_centres = list_data_centres
        self.has_configuration = has_configuration
        self.log = get_logger()

    def register(self, server: RpcServer) -> None:
        """Register the handlers at a server."""
        server.on(ReadEvacuation, self.on_read_evacuation)
        server.on(PutEvacuation, self.on_put_evacuation)

    async def on_read_evacuation(self, call: ReadEvacuation) -> EvacuationAnswer:
        """Return the revision of a data centre's evacuation.

        Raises:
            NotLeaderError: If this node does not lead.
        """
        replica, _ = self.get_leader_state()
        evacuations = replica.state_machine.state.evacuations
        return EvacuationAnswer(evacuations.get_revision(call.data_centre))

    async def on_put_evacuation(self, call: PutEvacuation) -> EvacuationAnswer:
        """Commit a change; answer once every reachable node has it.

        Raises:
            NotLeaderError: If this node does not lead.
            NotFoundError: If nothing names the data centre.
            ChangeDelayedError: If it cannot be made or acknowledged yet.
        """
        _, publisher = self.get_leader_state()
        await publisher.subscriptions.wait_known_nodes()
        replica, publisher = self.get_leader_state()
        self.check_software(publisher)
        is_known = self.is_known(publisher, call.data_centre)
        if not is_known:
            if call.is_evacuated:
                self.refuse_unknown(publisher, call.data_centre)
            if len(replica.state_machine.state.evacuation_revisions) >= MAX_NAMES:
                return EvacuationAnswer(0)
        revision = await replica.propose(
            StoreEvacuation(call.data_centre, call.is_evacuated, call.base_revision)
        )
        self.log.info(
            "evacuation_stored",
            data_centre=call.data_centre,
            evacuated=call.is_evacuated,
            base=call.base_revision,
            revision=revision,
            accepted=bool(revision),
        )
        if not revision:
            return EvacuationAnswer(call.base_revision, is_accepted=False)
        await self.wait_until_known(call.data_centre)
        return EvacuationAnswer(revision)

    def check_software(self, publisher: FleetPublisher) -> None:
        """Check that every node that may vote can apply the log command.

        This holds for good once an evacuation is on record.

        Raises:
            ChangeDelayedError: If one cannot.
        """
        if publisher.replica.state_machine.state.evacuation_revisions:
            return
        subscriptions = publisher.subscriptions
        hosts = {member.name for member in publisher.replica.core.members}
        # A node that joins with a new replica is no member yet.
        hosts.update(subscriptions.list_live_hosts())
        older = [
            host
            for host, subscriber in sorted(subscriptions.by_host.items())
            if host in hosts
            and subscriber.node.has_disk
            and not subscriber.node.knows_evacuations
        ]
        if older:
            raise ChangeDelayedError(f"older software on {', '.join(older[:5])}")

    def is_known(self, publisher: FleetPublisher, data_centre: str) -> bool:
        """Whether the settings, a target, a store or a node names a data centre."""
        if publisher.replica.state_machine.state.evacuations.get_revision(data_centre):
            return True
        subscribers = publisher.subscriptions.by_host.values()
        names = {
            *self.list_data_centres(),
            *(record.data_centre for record in publisher.targets.get_records()),
            *(subscriber.node.data_centre for subscriber in subscribers),
        }
        return data_centre in names

    def refuse_unknown(self, publisher: FleetPublisher, data_centre: str) -> None:
        """Refuse the order for a data centre that nothing names.

        Before the first configuration it is accepted, since that may name it.

        Raises:
            NotFoundError: If it cannot be known.
            ChangeDelayedError: If this leader may not know all targets yet.
        """
        revisions = publisher.replica.state_machine.state.evacuation_revisions
        if not self.has_configuration() and len(revisions) < MAX_NAMES:
            return
        if not publisher.is_settled:
            raise ChangeDelayedError(f"no target in {data_centre!r} is known yet")
        raise NotFoundError(f"no data centre {data_centre!r}")

    async def wait_until_known(self, data_centre: str) -> None:
        """Wait until every reachable node has the state in force.

        Raises:
            NotLeaderError: If this node has lost the lead.
            ChangeDelayedError: If a reachable node has not confirmed it in time.
        """
        for _ in range(CONFIRM_ROUNDS):
            _, publisher = self.get_leader_state()
            await publisher.subscriptions.wait_known_nodes()
            _, publisher = self.get_leader_state()
            sequence = publisher.update_facts()
            if await publisher.subscriptions.wait_confirmed(sequence):
                self.get_leader_state()
                return
        raise ChangeDelayedError(f"a node has not confirmed {data_centre!r}")
