"""Model test of Raft at the message level.

It drops, duplicates and reorders messages, restarts replicas and loses disks.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from laburnumpitch.control.raft import LEADER

from .raft_model import RaftNetwork

MAX_EXAMPLES = int(os.environ.get("RAFT_MODEL_EXAMPLES", "150"))
"""Number of random step sequences; the environment variable asks for more."""

STEPS_PER_EXAMPLE = 120


class RaftModel(RuleBasedStateMachine):
    """Random steps of three voters, and of replicas that join later."""

    committed_count = 0

    def __init__(self) -> None:
        super().__init__()
        self.network = RaftNetwork(3, seed=7)
        self.lost_disk_count = 0

    def pick(self, number: int) -> str:
        """Return the name of a replica; numbers wrap around."""
        names = sorted(self.network.cores)
        return names[number % len(names)]

    @rule(number=st.integers(0, 9), tenths=st.integers(1, 15))
    def advance(self, number: int, tenths: int) -> None:
        """Advance the clock and tick one replica."""
        self.network.advance_time(self.pick(number), tenths / 10)

    @rule()
    def elect(self) -> None:
        """Tick and deliver in order until a leader is elected, for up to 40 rounds."""
        for _ in range(40):
            if any(core.role == LEADER for core in self.network.cores.values()):
                break
            for name in sorted(self.network.cores):
                self.network.advance_time(name, 0.05)
            for _ in range(len(self.network.messages)):
                self.network.deliver(0, keep=False)

    @precondition(lambda self: self.network.messages)
    @rule(position=st.integers(0, 99), keep=st.booleans())
    def deliver(self, position: int, keep: bool) -> None:
        """Deliver any message, possibly out of order or repeatedly."""
        self.network.deliver(position, keep)

    @precondition(lambda self: self.network.messages)
    @rule(count=st.integers(1, 10))
    def deliver_in_order(self, count: int) -> None:
        """Deliver the oldest messages."""
        for _ in range(min(count, len(self.network.messages))):
            self.network.deliver(0, keep=False)

    @precondition(lambda self: self.network.messages)
    @rule(position=st.integers(0, 99))
    def drop(self, position: int) -> None:
        """Drop a message."""
        messages = self.network.messages
        messages.pop(position % len(messages))

    @rule(number=st.integers(0, 9))
    def propose(self, number: int) -> None:
        """Propose a command at one replica."""
        self.network.propose(self.pick(number))

    @rule(number=st.integers(0, 9))
    def restart(self, number: int) -> None:
        """Crash a replica before it syncs a tick, and restart it."""
        self.network.crash_before_sync(self.pick(number))

    @rule(number=st.integers(0, 9))
    def compact(self, number: int) -> None:
        """Compact a replica's log."""
        self.network.compact(self.pick(number))

    @precondition(lambda self: self.lost_disk_count == 0)
    @rule(number=st.integers(0, 9))
    def lose_disk(self, number: int) -> None:
        """Lose one replica's disk; it rejoins under a new identifier as a learner."""
        self.lost_disk_count = 1
        name = self.pick(number)
        self.network.lose_disk(name, f"{name}-new")
        self.network.change_member(f"{name}-new", is_voter=False)

    @rule(number=st.integers(0, 9), is_voter=st.booleans())
    def change_member(self, number: int, is_voter: bool) -> None:
        """Add, demote or remove a replica.

        A voter is added only once its log has caught up.
        """
        name = self.pick(number)
        last_committed_index = max(self.network.committed_entries, default=0)
        if is_voter and self.network.cores[name].log.last_index < last_committed_index:
            return
        self.network.change_member(name, is_voter)

    def teardown(self) -> None:
        """Add this example's committed entries to the count of all examples."""
        RaftModel.committed_count += len(self.network.committed_entries)


RaftModelTest = RaftModel.TestCase
RaftModelTest.settings = settings(
    max_examples=MAX_EXAMPLES,
    stateful_step_count=STEPS_PER_EXAMPLE,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
