"""Publishes the fleet's state from the leader to the nodes that subscribe to it.

Nodes subscribe by long polling with `Follow` calls, which only the leader answers.
A node's next call confirms the sequence of the answer before it, so the leader knows
when every node has a change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from msgspec.structs import replace

from .._tasks import contain_errors
from ..control.replica import Replica
from ..errors import LaburnumpitchError, NotLeaderError
from ..logging import get_logger
from ..policy.weight_history import WeightHistory
from .assignments import assign_hosts
from .crash_messages import PastDeaths, PiecesCompleted, RequestCompleted, TargetDied
from .load_totals import LoadTotals
from .messages import FleetFacts, Follow, FollowAnswer, NodeRecord
from .quarantine import Quarantine
from .subscriptions import MIN_HOLD_S, SubscriberState, Subscriptions
from .target_table import TOMBSTONE_S, TargetEntry, TargetTable

MAX_HOLD_S = 0.6
"""The longest time, which is under half of `LEADER_TIMEOUT_S`."""

MAX_FOLLOW_CALLS_PER_S = 220.0
"""Rate of calls at which the leader holds them for longer."""

SETTLE_INTERVALS = 2.5
"""Announcement intervals after an election until the new leader has received an
announcement of every live target."""

CHECK_INTERVAL_S = 0.3
"""Interval of checks for targets that no longer announce themselves, for unreachable
nodes and for changed assignments."""

ASSIGNMENT_DELAY_S = 1.0
"""Time after an election before the leader makes assignments, so that nodes can
subscribe first."""

QUARANTINE_INTERVAL_S = 0.1
"""Least time between two publications of quarantines. Targets may crash in quick
succession, each with many requests, and every publication goes to all nodes."""

ASSIGNEE_TIMEOUT_S = 1.4
"""Time since a node's last contact after which its assignments move to other nodes; by
then it frees no parts of stores any more (`FREE_CONTACT_S`, `FREE_VALIDITY_MS`)."""


class FleetPublisher:
    """Holds the leader's soft state of one term and sends its changes to the nodes.

    Soft state is what the replicated log doesn't hold: targets, subscribed nodes,
    their loads, assignments and quarantines.

    Args:
        replica: This node's replica.
        announce_interval_s: Interval of the targets' announcements.
        list_assignment_names: Returns the names of all assignments, each of which
            needs one node: addresses of stores, and names of services' coordinators.
        get_facts: Returns this node's copy of the facts, from which a new term starts
            so that assignments to live nodes and quarantines stay.
        is_known_service: Returns whether a service is configured.
        get_time_s: Monotonic time.
        list_targets: Returns this node's copy of the targets, which a new term takes
            into account where it has not heard of them itself.
    """

    def __init__(
        self,
        replica: Replica,
        announce_interval_s: float,
        list_assignment_names: Callable[[], list[str]],
        get_facts: Callable[[], FleetFacts | None],
        is_known_service: Callable[[str], bool],
        get_time_s: Callable[[], float],
        list_targets: Callable[[], Iterable[TargetEntry]] = tuple,
    ) -> None:
        self.replica = replica
        self.announce_interval_s = announce_interval_s
        self.list_assignment_names = list_assignment_names
        self.get_facts = get_facts
        self.is_known_service = is_known_service
        self.get_time_s = get_time_s
        self.list_targets = list_targets
        self.log = get_logger()
        self.change_event = asyncio.Event()
        """Set when there is a change, for which calls of nodes are held."""
        self.subscriptions = Subscriptions((), get_time_s)
        self.reset(-1)

    def reset(self, term: int) -> None:
        """Start a term with what this node knows from the former leader."""
        self.term = term
        self.started_s = self.get_time_s()
        self.targets = TargetTable(self.announce_interval_s, self.is_known_service)
        self.targets.adopt(self.list_targets(), self.started_s)
        known_facts = self.get_facts()
        self.quarantine = Quarantine(known_facts, self.started_s)
        self.quarantine_updated_s = self.started_s
        self.weight_history = WeightHistory()
        if known_facts is not None:
            self.weight_history.merge(known_facts.weight_ages, self.started_s)
        self.assignments = dict(known_facts.keepers) if known_facts else {}
        self.subscriptions.close()
        self.subscriptions = Subscriptions(
            set(known_facts.hosts) - {known_facts.leader_host} if known_facts else (),
            self.get_time_s,
        )
        self.loads = LoadTotals()
        self.facts: FleetFacts | None = None
        self.facts_sequence = 0
        """Sequence number of the newest facts."""
        self.notify_change()

    def check_term(self) -> None:
        """Reset the soft state if the term has changed.

        Raises:
            NotLeaderError: If this replica does not lead.
        """
        self.replica.require_leader()
        if self.term != self.replica.core.term:
            self.reset(self.replica.core.term)

    def notify_change(self) -> None:
        """Wake every held call, and everything that waits for calls of nodes."""
        self.change_event.set()
        self.change_event = asyncio.Event()
        self.subscriptions.notify()

    @property
    def sequence(self) -> int:
        """Sequence number of the newest change."""
        return self.targets.sequence

    def publish(self) -> int:
        """Publish a change outside the target table and return its sequence."""
        self.targets.sequence += 1
        self.notify_change()
        return self.sequence

    def update_target(self, target_id: str, **changes: Any) -> None:
        """Change fields of a target that the leader itself sets, and publish them."""
        if self.targets.update(target_id, **changes):
            self.notify_change()

    @property
    def is_settled(self) -> bool:
        """Whether every live target has had time to announce itself in this term."""
        age_s = self.get_time_s() - self.started_s
        return age_s > self.announce_interval_s * SETTLE_INTERVALS

    async def handle_follow(self, call: Follow) -> FollowAnswer:
        """Return the changes that a node lacks, waiting a moment for one.

        Raises:
            NotLeaderError: If this replica does not lead.
        """
        self.check_term()
        hold_s = self.choose_hold_s(call.node)
        subscriber = SubscriberState(call.node, self.get_time_s(), 0, hold_s)
        if call.term == self.term:
            subscriber.confirmed_sequence = call.sequence
        if call.node.host not in self.subscriptions.by_host:
            self.log.info("node_follows", host=call.node.host, term=self.term)
        self.loads.replace_report(call.node.host, call.loads)
        with contain_errors("fleet_publisher"):
            self.update_quarantine()
        self.subscriptions.record(subscriber)
        deadline_s = self.get_time_s() + hold_s
        while not self.has_update(call):
            remaining_s = deadline_s - self.get_time_s()
            if remaining_s <= 0:
                break
            change_event = self.change_event
            try:
                async with asyncio.timeout(remaining_s):
                    await change_event.wait()
            except asyncio.TimeoutError:
                break
            self.check_term()
        subscriber.last_contact_s = self.get_time_s()
        self.check_term()
        if self.facts is None:
            self.update_facts()
        return self.make_answer(call)

    def choose_hold_s(self, node: NodeRecord) -> float:
        """Return the time for which a node's call waits for a change.

        Nodes with a disk call often, as assignments depend on their contact.
        """
        if node.has_disk:
            return MIN_HOLD_S
        nodes_s = len(self.subscriptions.by_host) / MAX_FOLLOW_CALLS_PER_S
        return min(MAX_HOLD_S, max(MIN_HOLD_S, nodes_s))

    def has_update(self, call: Follow) -> bool:
        """Whether a node lacks a change or the newest configuration."""
        state = self.replica.state_machine.state
        return (
            call.term != self.term
            or call.sequence < self.sequence
            or call.configuration_version != state.configuration_version
        )

    def make_answer(self, call: Follow) -> FollowAnswer:
        """Return everything that a node lacks."""
        state = self.replica.state_machine.state
        is_full = call.term != self.term
        after = 0 if is_full else call.sequence
        has_newest = call.configuration_version >= state.configuration_version
        return FollowAnswer(
            term=self.term,
            sequence=self.sequence,
            is_settled=self.is_settled,
            is_full=is_full,
            targets=self.targets.get_changes(after),
            configuration_version=state.configuration_version,
            configuration=b"" if has_newest else state.configuration,
            facts=(
                self.get_facts_to_send()
                if is_full or after < self.facts_sequence
                else None
            ),
            loads=self.loads.get_totals_of_others(call.node.host),
            context_epoch=state.context_epoch,
        )

    async def wait_target_known(self, target_id: str) -> None:
        """Wait until every reachable node has the newest record of a target.

        If the target leaves, the nodes that followed the former leader count as
        reachable right after an election, since they go on sending it requests.

        Raises:
            NotLeaderError: If the term has ended, and with it the effect of the change.
        """
        term, entry = self.term, self.targets.entries[target_id]
        if not entry.record.is_staying:
            await self.subscriptions.wait_known_nodes()
        await self.subscriptions.wait_confirmed(entry.changed_sequence)
        self.check_term()
        if self.term != term:
            raise NotLeaderError(self.replica.get_leader_name())

    async def run(self) -> None:
        """Update the soft state at intervals while this node leads, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                self.check_term()
            except LaburnumpitchError:
                continue
            for update in (
                self.update_assignments,
                self.drop_stale_loads,
                self.update_quarantine,
                self.update_facts,
                self.check_targets,
            ):
                with contain_errors("fleet_publisher"):
                    update()

    def check_targets(self) -> None:
        """Publish which targets no longer announce themselves."""
        now_s = self.get_time_s()
        if self.is_settled and self.targets.check_announcements(now_s):
            self.publish()
        if now_s - self.started_s > TOMBSTONE_S:
            self.targets.former.clear()

    def drop_stale_loads(self) -> None:
        """Remove the load reports of unreachable nodes."""
        live_hosts = set(self.subscriptions.list_live_hosts())
        for host in list(self.loads.reports_by_host):
            if host not in live_hosts:
                self.loads.remove_report(host)

    def update_assignments(self) -> None:
        """Assign stores and coordinators to reachable nodes that have a disk.

        Nothing is assigned until nodes have had time to subscribe.
        """
        now_s = self.get_time_s()
        if now_s - self.started_s < ASSIGNMENT_DELAY_S:
            return
        live_hosts = [
            host
            for host, subscriber in sorted(self.subscriptions.by_host.items())
            if now_s - subscriber.last_contact_s < ASSIGNEE_TIMEOUT_S
            and subscriber.node.has_disk
        ]
        assignments = assign_hosts(
            self.list_assignment_names(),
            live_hosts,
            self.assignments,
            self.replica.get_leader_name(),
        )
        if assignments != self.assignments:
            self.assignments = assignments
            self.log.info("keepers_named", keepers=assignments)

    def update_facts(self) -> int:
        """Publish the fleet's facts if they have changed.

        Returns:
            Sequence number of the newest facts.
        """
        state = self.replica.state_machine.state
        self.weight_history.record(state.weights, self.get_time_s())
        facts = FleetFacts(
            weights=dict(state.weights),
            members=self.replica.core.committed_members,
            hosts=self.subscriptions.list_expected_hosts(),
            quarantined=list(self.quarantine.fingerprints),
            keepers=self.assignments,
            quarantined_pieces=list(self.quarantine.pieces),
            suspect_pieces=self.quarantine.list_suspect_pieces(),
            suspect_requests=self.quarantine.list_suspect_requests(),
            suspect_deaths=self.quarantine.list_suspect_deaths(),
            leader_host=self.replica.get_leader_name(),
            builds=dict(state.builds) if self.may_record_builds() else None,
            evacuated=list(state.evacuated),
            evacuation_revisions=dict(state.evacuation_revisions),
        )
        if facts != self.facts:
            self.facts = facts
            self.facts_sequence = self.publish()
        return self.facts_sequence

    def get_facts_to_send(self) -> FleetFacts | None:
        """Return the newest facts with the present ages of weight versions."""
        if self.facts is None:
            return None
        ages = self.weight_history.get_ages(self.get_time_s())
        return replace(self.facts, weight_ages=ages)

    def may_record_builds(self) -> bool:
        """Whether the software of every node that may vote knows of builds.

        This holds for good once builds are on record.
        """
        subscribers = self.subscriptions.by_host.values()
        return bool(self.replica.state_machine.state.builds) or all(
            s.node.knows_builds for s in subscribers if s.node.has_disk
        )

    def handle_target_death(self, notice: TargetDied) -> None:
        """Record a target that died while it had a request."""
        self.check_term()
        self.quarantine.record_death(notice, self.get_time_s())
        self.update_quarantine()

    def handle_past_deaths(self, report: PastDeaths) -> None:
        """Record deaths that a node had reported to former leaders."""
        self.check_term()
        now_s = self.get_time_s()
        for death in report.deaths:
            self.quarantine.record_death(death.notice, now_s, death.age_s)
        self.update_quarantine()

    def update_quarantine(self) -> None:
        """Publish changed quarantines and suspects, at a limited rate."""
        now_s = self.get_time_s()
        if (
            self.quarantine.is_idle
            or now_s < self.quarantine_updated_s + QUARANTINE_INTERVAL_S
        ):
            return
        self.quarantine_updated_s = now_s
        self.quarantine.update(now_s)
        self.update_facts()

    def handle_completed_request(self, notice: RequestCompleted) -> None:
        """Clear a request that a target has answered."""
        self.check_term()
        self.quarantine.record_answered(notice.fingerprint)

    def handle_completed_pieces(self, notice: PiecesCompleted) -> None:
        """Clear pieces on which a target has completed an answer."""
        self.check_term()
        self.quarantine.record_completed(notice.pieces)
