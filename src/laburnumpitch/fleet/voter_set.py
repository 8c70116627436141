"""Changes the voters of the replicated log: adds replicas, removes lost ones."""

from __future__ import annotations

from msgspec.structs import replace

from ..control.raft_messages import Member
from ..control.replica import Replica
from ..logging import get_logger
from ..policy.voters import get_min_voters, is_removal_due
from .messages import JoinCore, JoinCoreAnswer

MAX_VOTERS = 9
"""Maximum number of voters; further replicas stay learners."""

LOST_CATCH_UP_SHARE = 0.5
"""Share of the catch-up time of a new VM without an answer, after which a voter counts
as lost; the rest is for replacing it."""

SILENCE_S = 1.0
"""Time without an answer after which a voter may be lost; it answers ten times a second
otherwise."""


class VoterSet:
    """The leader's changes of the voters, one voter at a time.

    Args:
        tolerated_losses: Number of VMs with a disk that may be lost at the same time.
        catch_up_s: Time after which a new VM has to be able to replace a lost one.
    """

    def __init__(self, tolerated_losses: int, catch_up_s: float) -> None:
        self.min_voters = get_min_voters(tolerated_losses)
        self.tolerated_losses = tolerated_losses
        self.lost_after_s = catch_up_s * LOST_CATCH_UP_SHARE
        self.log = get_logger()

    async def handle_join(self, replica: Replica, call: JoinCore) -> JoinCoreAnswer:
        """Take the next step that makes a replica with an empty disk a voter.

        The steps are: add it as a learner; once it has caught up, remove the former
        replica of its host, or else a lost voter; then make the learner a voter. With
        enough voters, it waits for a silent voter to answer or to count as lost.
        """
        members = replica.core.members
        own_members = [m for m in members if m.replica_id == call.replica_id]
        if not own_members:
            learner = Member(call.replica_id, call.host, call.address, False)
            await replica.propose_membership_change([*members, learner])
            return JoinCoreAnswer(False)
        if own_members[0].is_voter:
            return JoinCoreAnswer(True)
        if not has_caught_up(replica, call.replica_id):
            return JoinCoreAnswer(False)
        former_members = [
            m
            for m in members
            if m.name == call.host and m.replica_id != call.replica_id
        ]
        removable = former_members or self.find_lost_voters(replica)
        if removable:
            await self.remove(replica, removable[0])
        elif self.has_place(replica):
            others = [member for member in members if member not in own_members]
            await replica.propose_membership_change(
                [*others, replace(own_members[0], is_voter=True)]
            )
        return JoinCoreAnswer(False)

    def has_place(self, replica: Replica) -> bool:
        """Whether a learner may become a further voter now."""
        voter_count = len(replica.core.voters)
        if voter_count < self.min_voters:
            return True
        return voter_count < MAX_VOTERS and not self.has_silent_voter(replica)

    async def remove_lost_voter(self, replica: Replica) -> None:
        """Remove a lost voter if it endangers the majority; only the leader does."""
        if not replica.is_leader:
            return
        voter_count = len(replica.core.voters)
        lost_voters = self.find_lost_voters(replica)
        reachable_count = voter_count - len(lost_voters)
        if is_removal_due(voter_count, reachable_count, self.tolerated_losses):
            await self.remove(replica, lost_voters[0])

    async def remove(self, replica: Replica, member: Member) -> None:
        """Remove a member, unless another change is not committed yet."""
        silence_s = get_silence_s(replica, member)
        others = [other for other in replica.core.members if other != member]
        if await replica.propose_membership_change(others):
            self.log.warning(
                "member_removed",
                replica=member.replica_id,
                voter=member.is_voter,
                silence_s=round(silence_s, 2),
                voters=len(replica.core.voters),
            )

    def find_lost_voters(self, replica: Replica) -> list[Member]:
        """Return the voters that have not answered this leader for too long."""
        return [
            member
            for member in list_other_voters(replica)
            if get_silence_s(replica, member) > self.lost_after_s
        ]

    def has_silent_voter(self, replica: Replica) -> bool:
        """Whether a voter has not answered lately, or not yet."""
        now_s = replica.get_time_s()
        return any(
            now_s - replica.core.progress[member.replica_id].last_contact_s > SILENCE_S
            for member in list_other_voters(replica)
        )


def list_other_voters(replica: Replica) -> list[Member]:
    """Return the voters other than the leader itself."""
    core = replica.core
    return [m for m in core.members if m.is_voter and m.replica_id in core.progress]


def get_silence_s(replica: Replica, member: Member) -> float:
    """Return the time for which a member has not answered this leader."""
    core = replica.core
    progress = core.progress.get(member.replica_id)
    last_contact_s = progress.last_contact_s if progress else core.leader_since_s
    return replica.get_time_s() - max(last_contact_s, core.leader_since_s)


def has_caught_up(replica: Replica, replica_id: str) -> bool:
    """Whether a learner has all committed entries."""
    progress = replica.core.progress.get(replica_id)
    return progress is not None and progress.match_index >= replica.core.commit_index
