"""Compares two tables that detect duplicate orders: claims, and producer sequences.

The claim table has a record for each order's key. The producer table is that of the
RocketMQ RIP "idempotent and transactional producer": a producer has an epoch, which a
restart increments, and numbers its requests; the table keeps the last sequence number
and a window of answers for each producer.
"""

from __future__ import annotations

import random
import sys
import time
from collections import OrderedDict
from dataclasses import dataclass, field

from laburnumpitch.control.commands import (
    CLAIM_GRANTED,
    Claim,
    KeptAnswer,
    SettleClaim,
)
from laburnumpitch.control.state_machine import StateMachine

ANSWER_WINDOW = 5
"""Answers kept for each producer, like the batches that brokers keep."""

ORDER_COUNT = 20_000
RESEND_SHARE = 0.1
"""Share of the orders that the caller sends again."""

LOST_STATE_SHARE = 0.5
"""Share of the resends that come from a restarted caller, which has lost all but the
order's key."""

ANSWER = KeptAnswer(201, [("content-type", "application/json")], b"x" * 200)


@dataclass
class Producer:
    """The record of one producer."""

    epoch: int = 0
    sequence: int = -1
    answers: OrderedDict[int, KeptAnswer] = field(default_factory=OrderedDict)


class ProducerTable:
    """Detects duplicate requests by producer id, epoch and sequence number."""

    def __init__(self) -> None:
        self.producers: dict[str, Producer] = {}

    def claim(self, name: str, epoch: int, sequence: int) -> bool:
        """Return whether a request may run: its sequence number is new in the epoch."""
        producer = self.producers.setdefault(name, Producer())
        if epoch > producer.epoch:
            producer.epoch = epoch
            producer.sequence = -1
        if epoch < producer.epoch or sequence <= producer.sequence:
            return False
        producer.sequence = sequence
        return True

    def settle(self, name: str, sequence: int) -> None:
        """Keep an answer for resends, within the producer's window."""
        answers = self.producers[name].answers
        answers[sequence] = ANSWER
        if len(answers) > ANSWER_WINDOW:
            answers.popitem(last=False)


def run_claims(callers: int, random_source: random.Random) -> int:
    """Run orders through the claim table; return how many would run twice."""
    state_machine = StateMachine()
    ran_twice = 0
    for number in range(ORDER_COUNT):
        name = f"caller-{number % callers}/{number}"
        state_machine.apply(Claim("org", name, "d" * 64, f"a{number}", "n1", 1, 1.0))
        state_machine.apply(SettleClaim("org", name, f"a{number}", True, ANSWER, 1.0))
        if random_source.random() < RESEND_SHARE:
            resend = Claim("org", name, "d" * 64, f"b{number}", "n2", 1, 1.0)
            ran_twice += state_machine.apply(resend).status == CLAIM_GRANTED
    return ran_twice


def run_producers(callers: int, random_source: random.Random) -> int:
    """Run orders through the producer table; return how many would run twice."""
    table = ProducerTable()
    epochs: dict[str, int] = {}
    sequences: dict[str, int] = {}
    ran_twice = 0
    for number in range(ORDER_COUNT):
        name = f"caller-{number % callers}"
        sequence = sequences.get(name, -1) + 1
        sequences[name] = sequence
        table.claim(name, epochs.get(name, 0), sequence)
        table.settle(name, sequence)
        if random_source.random() >= RESEND_SHARE:
            continue
        if random_source.random() < LOST_STATE_SHARE:
            # The restarted caller has a new epoch, and numbers from 0 again.
            epochs[name] = epochs.get(name, 0) + 1
            sequences[name] = 0
            ran_twice += table.claim(name, epochs[name], 0)
        else:
            ran_twice += table.claim(name, epochs.get(name, 0), sequence)
    return ran_twice


def main() -> int:
    """Measure each table for several numbers of callers, and print a line for each."""
    for callers in (200, 2_000, 20_000):
        for name, run in (("claims", run_claims), ("producers", run_producers)):
            started_s = time.process_time()
            ran_twice = run(callers, random.Random(1))
            duration_s = time.process_time() - started_s
            print(
                f"table={name} callers={callers} orders={ORDER_COUNT} "
                f"us_per_order={duration_s / ORDER_COUNT * 1e6:.1f} "
                f"ran_twice={ran_twice} resend_share={RESEND_SHARE} "
                f"lost_state_share={LOST_STATE_SHARE}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
