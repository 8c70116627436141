"""Agreement of the seeds on the cluster that they found: Paxos for a single value.

Each seed votes. A proposal is chosen once a majority of the seeds has accepted it, and
every later proposal then is for the same cluster. So a seed that is cut off founds
none, and the others need not wait for one that is lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, order=True)
class Ballot:
    """Number of a proposal; the host tells those of several proposers apart."""

    round: int = 0
    host: str = ""


@dataclass(frozen=True)
class Vote(Generic[ValueT]):
    """What a seed has promised and accepted."""

    promised: Ballot = Ballot()
    """The seed accepts no proposal with a lower ballot."""
    accepted: Ballot = Ballot()
    value: ValueT | None = None
    """The accepted proposal; None without one."""


class Acceptor(Generic[ValueT]):
    """Votes for one seed.

    Args:
        vote: The state before a restart; that of a new seed by default.
        save: Makes a new state durable before it is answered; raises if it cannot.
    """

    def __init__(
        self, vote: Vote[ValueT], save: Callable[[Vote[ValueT]], None]
    ) -> None:
        self.vote = vote
        self.save = save

    def prepare(self, ballot: Ballot) -> bool:
        """Promise to accept nothing lower than a ballot; return whether it does."""
        if ballot <= self.vote.promised:
            return False
        self.update(replace(self.vote, promised=ballot))
        return True

    def accept(self, ballot: Ballot, value: ValueT) -> bool:
        """Accept a proposal unless a higher ballot was promised."""
        if ballot < self.vote.promised:
            return False
        self.update(Vote(ballot, ballot, value))
        return True

    def update(self, vote: Vote[ValueT]) -> None:
        """Save a new state, then take it over."""
        self.save(vote)
        self.vote = vote


def choose_value(votes: Iterable[Vote[ValueT]], own_value: ValueT) -> ValueT:
    """Return the value to propose after a majority of the seeds has promised.

    It is the one that was accepted last, since it may have been chosen.
    """
    accepted = [vote for vote in votes if vote.value is not None]
    if not accepted:
        return own_value
    value = max(accepted, key=lambda vote: vote.accepted).value
    assert value is not None
    return value
