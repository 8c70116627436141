"""Sends completions and orders to a cluster and records the answers."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from laburnumpitch.transport.http_client import HttpClientPool

from .caller import Caller
from .cluster import Cluster
from .deployment import get_organisation
from .history import History, Record


@dataclass(frozen=True)
class LoadShape:
    """Mix and rate of the requests."""

    callers: int = 12
    shared_texts: int = 10
    """Number of long texts with which prompts begin."""
    shared_text_tokens: int = 2600
    max_tokens: int = 12
    order_share: float = 0.3
    resend_share: float = 0.1
    pause_s: float = 0.05
    deadline_ms: int = 20000


def make_text(name: str, tokens: int) -> str:
    """Return a text of a length in tokens that is unique to a name."""
    line = f"{name}: the gate is open, two cans, snow on the pass. "
    return (line * (tokens * 4 // len(line) + 1))[: tokens * 4]


class LoadGenerator:
    """Concurrent callers that send requests until a stop is requested.

    Args:
        cluster: The cluster to call.
        shape: Mix and rate of the requests.
        seed: Seed of all random choices.
        addresses: Addresses to call; those of the entries if empty.
    """

    def __init__(
        self,
        cluster: Cluster,
        shape: LoadShape,
        seed: int,
        addresses: list[str] | None = None,
    ) -> None:
        self.cluster = cluster
        self.shape = shape
        self.seed = seed
        self.addresses = addresses or [
            cluster.http_addresses[name] for name in cluster.entries
        ]
        self.history = History()
        self.stop_requested = asyncio.Event()
        self.http = HttpClientPool()
        self.tasks: list[asyncio.Task[None]] = []
        deployment = cluster.deployment
        self.callers = [
            Caller(deployment, get_organisation(deployment, index), self.http)
            for index in range(deployment.organisations)
        ]

    def start(self) -> None:
        """Start the callers."""
        self.tasks = [
            asyncio.create_task(self.run(number))
            for number in range(self.shape.callers)
        ]

    async def stop(self) -> History:
        """Stop the callers after their current requests and return the history."""
        self.stop_requested.set()
        await asyncio.gather(*self.tasks)
        self.http.close()
        return self.history

    async def run(self, number: int) -> None:
        """Send one caller's requests, one after another."""
        rng = random.Random(f"{self.seed}/{number}")
        count = 0
        while not self.stop_requested.is_set():
            count += 1
            if rng.random() < self.shape.order_share:
                await self.send_order(rng, f"o{number}-{count}")
            else:
                await self.send_completion(rng, f"{number}-{count}")
            await asyncio.sleep(rng.uniform(0, 2 * self.shape.pause_s))

    async def send_completion(self, rng: random.Random, name: str) -> None:
        """Send a completion whose prompt begins with one of the shared texts."""
        caller = rng.choice(self.callers)
        entry = rng.choice(self.addresses)
        shared_text = make_text(
            f"history {rng.randrange(self.shape.shared_texts)}",
            self.shape.shared_text_tokens,
        )
        prompt = f"{shared_text}\nquestion {name}?"
        started_s = time.monotonic()
        answer = await caller.send_completion(
            entry, prompt, self.shape.max_tokens, self.shape.deadline_ms
        )
        self.history.add(
            Record(
                "question",
                caller,
                entry,
                started_s,
                answer,
                prompt,
                self.shape.max_tokens,
            )
        )

    async def send_order(self, rng: random.Random, key: str) -> None:
        """Send an order, and sometimes resend it concurrently to another address."""
        caller = rng.choice(self.callers)
        entry = rng.choice(self.addresses)
        sends = [self.send_order_once(caller, entry, key, False)]
        if rng.random() < self.shape.resend_share:
            other = rng.choice(self.addresses)
            sends.append(self.send_order_once(caller, other, key, True))
        await asyncio.gather(*sends)

    async def send_order_once(
        self, caller: Caller, entry: str, key: str, is_resend: bool
    ) -> None:
        """Send an order once and record the answer."""
        started_s = time.monotonic()
        answer = await caller.send_order(entry, key)
        self.history.add(
            Record(
                "order",
                caller,
                entry,
                started_s,
                answer,
                key=key,
                is_resend=is_resend,
            )
        )
