"""Seeds that agree on one cluster, with lost messages and restarts."""

from __future__ import annotations

import random

import testtools

from laburnumpitch.policy.founding import Acceptor, Ballot, Vote, choose_value

SEEDS = ("a", "b", "c")
MAJORITY = 2
RUNS = 300
STEPS = 60


class ModelSeed:
    """A seed whose vote is on a disk.

    Args:
        host: Its name.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.saved: Vote[str] = Vote()
        self.round = 0
        self.restart()

    def restart(self) -> None:
        """Start again with what was saved."""
        self.acceptor = Acceptor(self.saved, self.save)

    def save(self, vote: Vote[str]) -> None:
        """Save a vote."""
        self.saved = vote


class Model:
    """Three seeds, of which each may propose a cluster at any time.

    Args:
        seed: Seed of the random choices.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.seeds = [ModelSeed(host) for host in SEEDS]
        self.chosen: set[str] = set()
        self.pending: list[tuple[ModelSeed, Ballot, str]] = []
        """Proposals whose promises have been given, and that are not sent yet."""

    def list_reached(self, share: float) -> list[ModelSeed]:
        """Return the seeds that a message reaches, and whose answer comes back."""
        return [seed for seed in self.seeds if self.random.random() < share]

    def prepare(self) -> None:
        """Let a seed ask for promises."""
        proposer = self.random.choice(self.seeds)
        proposer.round = max(seed.acceptor.vote.promised.round for seed in self.seeds)
        proposer.round += 1
        ballot = Ballot(proposer.round, proposer.host)
        votes = [
            seed.acceptor.vote
            for seed in self.list_reached(0.7)
            if seed.acceptor.prepare(ballot)
        ]
        if len(votes) >= MAJORITY:
            value = choose_value(votes, f"{proposer.host}{proposer.round}")
            self.pending.append((proposer, ballot, value))

    def accept(self) -> None:
        """Send a pending proposal, perhaps much later than its promises."""
        if not self.pending:
            return
        index = self.random.randrange(len(self.pending))
        _, ballot, value = self.pending.pop(index)
        accepted = [
            seed.acceptor.accept(ballot, value) for seed in self.list_reached(0.7)
        ]
        if sum(accepted) >= MAJORITY:
            self.chosen.add(value)

    def step(self) -> None:
        """Take a random step."""
        self.random.choice((self.prepare, self.prepare, self.accept, self.restart))()

    def restart(self) -> None:
        """Restart a seed, which keeps its disk."""
        self.random.choice(self.seeds).restart()


class AgreementTest(testtools.TestCase):
    """Random schedules of proposals, losses and restarts."""

    def test_one_cluster(self) -> None:
        """However messages are lost, at most one cluster is founded."""
        founded = 0
        for seed in range(RUNS):
            model = Model(seed)
            for _ in range(STEPS):
                model.step()
            self.assertLessEqual(len(model.chosen), 1, f"seed {seed}")
            founded += len(model.chosen)
        self.assertGreater(founded, RUNS // 2)


class AcceptorTest(testtools.TestCase):
    """Promises that are kept."""

    def test_older_ballot(self) -> None:
        """A promise excludes lower ballots, also of another host's same round."""
        acceptor = Acceptor(Vote(), lambda vote: None)
        self.assertTrue(acceptor.prepare(Ballot(2, "b")))
        self.assertFalse(acceptor.prepare(Ballot(2, "a")))
        self.assertFalse(acceptor.accept(Ballot(2, "a"), "x"))
        self.assertTrue(acceptor.accept(Ballot(2, "b"), "y"))
        self.assertTrue(acceptor.accept(Ballot(3, "a"), "y"))

    def test_failed_save(self) -> None:
        """A vote that could not be saved does not count."""

        def fail(vote: Vote[str]) -> None:
            raise OSError("disk full")

        acceptor = Acceptor(Vote(), fail)
        self.assertRaises(OSError, acceptor.prepare, Ballot(1, "a"))
        self.assertEqual(Vote(), acceptor.vote)
