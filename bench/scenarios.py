"""Scenarios that the policies are measured under.

A scenario is a list of steps for one cluster: load at a rate, then something
happens, then load again. Only the measured part counts.
"""

from __future__ import annotations

import asyncio
import random
import re
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from harness.caller import Answer, Caller
from harness.cluster import Cluster
from harness.deployment import get_organisation, make_document
from harness.load import make_text
from laburnumpitch.transport.http_client import HttpClient, HttpClientPool

USAGE_PATTERN = re.compile(r"event=completed .* recomputed=(\d+) reused=(\d+) ")
"""What an entry logs of a whole answer."""

HISTORIES = 24
"""Long texts that return; together more than the engines' memory holds."""

HISTORY_TOKENS = 4096
ANSWER_TOKENS = 16
WARM_UP_GAP_S = 0.12
MEASURED_GAP_S = 0.055
EXPORT_WAIT_S = 12.0
DEADLINE_MS = 30000


@dataclass
class Sample:
    """One measured question."""

    organisation: str
    answer: Answer
    is_right: bool


@dataclass
class Measurement:
    """What a scenario gave."""

    samples: list[Sample] = field(default_factory=list)
    recomputed_tokens: int = 0
    reused_tokens: int = 0
    link_busy_s: float = 0.0
    duration_s: float = 0.0


async def get_state(address: str) -> dict:
    """Return a stand-in's counters; none if it is dead."""
    client = HttpClient(address)
    try:
        answer = await client.request(
            "GET", "/v1/debug/state", [], b"", first_byte_timeout_s=2.0
        )
        return msgspec.json.decode(await answer.read())
    except Exception:
        return {}
    finally:
        client.close()


class Scenario:
    """Runs load on a cluster and measures it.

    Args:
        cluster: A running cluster.
        seed: Seed of everything random.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.source = random.Random(seed)
        self.http = HttpClientPool()
        deployment = cluster.deployment
        self.callers = [
            Caller(deployment, get_organisation(deployment, index), self.http)
            for index in range(deployment.organisations)
        ]
        self.histories = [
            make_text(f"history {index} of seed {seed}", HISTORY_TOKENS)
            for index in range(HISTORIES)
        ]
        self.measurement = Measurement()
        self.asked = 0

    def get_entries(self) -> list[str]:
        """Return the addresses of the entries that live."""
        names = [
            n for n in self.cluster.entries if self.cluster.processes[n].is_running
        ]
        return [self.cluster.http_addresses[name] for name in names]

    def get_versions(self) -> tuple[str, ...]:
        """Return the weight versions that answers may be of."""
        return ("v1", "v2")

    async def ask(self, history: int, caller: Caller, is_measured: bool) -> None:
        """Ask one question about a history."""
        self.asked += 1
        prompt = f"{self.histories[history]}\nquestion {self.asked}: which gate?"
        entry = self.source.choice(self.get_entries())
        answer = await caller.send_completion(entry, prompt, ANSWER_TOKENS, DEADLINE_MS)
        expected = {
            caller.get_expected_text(prompt, ANSWER_TOKENS, version)
            for version in self.get_versions()
        }
        is_right = not answer.is_complete or answer.text in expected
        if is_measured:
            sample = Sample(caller.organisation, answer, is_right)
            self.measurement.samples.append(sample)

    def get_owner(self, history: int) -> Caller:
        """Return the organisation that a history belongs to."""
        return self.callers[history % len(self.callers)]

    async def run_load(
        self, count: int, gap_s: float, is_measured: bool, only: list[int] | None = None
    ) -> None:
        """Ask questions at random times, whether earlier ones ended or not."""
        choices = only or list(range(HISTORIES))
        tasks = []
        for _ in range(count):
            history = self.source.choice(choices)
            work = self.ask(history, self.get_owner(history), is_measured)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(self.source.expovariate(1 / gap_s))
        await asyncio.gather(*tasks)

    async def warm_up(self) -> None:
        """Ask about every history once, and give exports time."""
        tasks = []
        for history in range(HISTORIES):
            work = self.ask(history, self.get_owner(history), False)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(WARM_UP_GAP_S)
        await asyncio.gather(*tasks)
        if self.cluster.options.export == "on":
            await self.wait_exports()

    async def wait_exports(self) -> None:
        """Wait until the stores take no more."""
        deadline_s = time.monotonic() + EXPORT_WAIT_S
        latest = -1
        while time.monotonic() < deadline_s:
            states = await self.get_states("store")
            blocks = sum(state.get("blocks", 0) for state in states)
            if blocks == latest:
                return
            latest = blocks
            await asyncio.sleep(1.0)

    async def get_states(self, kind: str) -> list[dict]:
        """Return the counters of all stand-ins of a kind."""
        addresses = [
            address
            for name, address in self.cluster.http_addresses.items()
            if name.startswith(kind)
        ]
        return list(await asyncio.gather(*(get_state(item) for item in addresses)))

    async def sum_states(self, kind: str, key: str) -> float:
        """Return a counter's sum."""
        return sum(state.get(key, 0) for state in await self.get_states(kind))

    def read_usage(self, offsets: dict[Path, int]) -> tuple[int, int]:
        """Return tokens recomputed and reused by the answers since some offsets.

        The entries' logs outlive the engines that are killed.
        """
        recomputed = reused = 0
        for path in self.cluster.get_log_files():
            text = path.read_text()[offsets.get(path, 0) :]
            for counts in USAGE_PATTERN.findall(text):
                recomputed += int(counts[0])
                reused += int(counts[1])
        return recomputed, reused

    async def measure(self, work) -> Measurement:
        """Run the measured part of a scenario."""
        offsets = {path: len(path.read_text()) for path in self.cluster.get_log_files()}
        busy_s = await self.sum_states("store", "busy_s")
        started_s = time.monotonic()
        await work
        result = self.measurement
        result.duration_s = time.monotonic() - started_s
        recomputed, reused = self.read_usage(offsets)
        result.recomputed_tokens = recomputed
        result.reused_tokens = reused
        result.link_busy_s = await self.sum_states("store", "busy_s") - busy_s
        return result


async def run_returning(scenario: Scenario) -> None:
    """Histories return after a gap that outlasts engine memory."""
    await scenario.run_load(160, MEASURED_GAP_S, True)


async def run_moving_peak(scenario: Scenario) -> None:
    """The peak moves from one part of the histories to the next."""
    part = HISTORIES // 4
    for start in range(0, HISTORIES, part):
        only = list(range(start, start + part))
        await scenario.run_load(40, MEASURED_GAP_S, True, only)


async def run_burst(scenario: Scenario) -> None:
    """One large organisation bursts while the others go on."""
    large = scenario.callers[0]

    async def burst() -> None:
        await asyncio.sleep(1.0)
        await asyncio.gather(*(scenario.ask(0, large, False) for _ in range(120)))

    only = [index for index in range(HISTORIES) if index % 10 != 0]
    await asyncio.gather(burst(), scenario.run_load(130, MEASURED_GAP_S, True, only))


async def run_slow_link(scenario: Scenario) -> None:
    """One store's link slows to a tenth."""
    rate = scenario.cluster.deployment.link_bytes_per_s / 10
    client = HttpClient(scenario.cluster.http_addresses["store1"])
    body = msgspec.json.encode({"bytes_per_s": rate})
    answer = await client.request(
        "POST", "/v1/debug/link", [], body, first_byte_timeout_s=2.0
    )
    await answer.read()
    client.close()
    await scenario.run_load(160, MEASURED_GAP_S, True)


async def run_store_death(scenario: Scenario) -> None:
    """A store dies while it is full."""

    async def kill() -> None:
        await asyncio.sleep(1.0)
        await asyncio.to_thread(scenario.cluster.processes["store1"].kill)

    await asyncio.gather(kill(), scenario.run_load(160, MEASURED_GAP_S, True))


async def run_weight_swap(scenario: Scenario) -> None:
    """A new weight version is rolled out."""

    async def swap() -> None:
        await asyncio.sleep(0.5)
        text = make_document(scenario.cluster.deployment, "v2")
        await scenario.cluster.operator.apply_with_retries(text)

    await asyncio.gather(swap(), scenario.run_load(160, 2 * MEASURED_GAP_S, True))


async def run_engine_deaths(scenario: Scenario) -> None:
    """An engine dies each few seconds and returns."""
    stopping = asyncio.Event()

    async def kill() -> None:
        number = 0
        while not stopping.is_set():
            number += 1
            await asyncio.sleep(2.5)
            name = f"engine{number % scenario.cluster.deployment.engines + 1}"
            process = scenario.cluster.processes[name]
            await asyncio.to_thread(process.kill)
            process.start()

    killing = asyncio.create_task(kill())
    await scenario.run_load(160, 1.5 * MEASURED_GAP_S, True)
    stopping.set()
    await killing


async def run_entry_death(scenario: Scenario) -> None:
    """An entry dies."""

    async def kill() -> None:
        await asyncio.sleep(1.5)
        await asyncio.to_thread(scenario.cluster.processes["e1"].kill)

    await asyncio.gather(kill(), scenario.run_load(160, MEASURED_GAP_S, True))


SCENARIOS = {
    "returning": run_returning,
    "moving_peak": run_moving_peak,
    "burst": run_burst,
    "slow_link": run_slow_link,
    "store_death": run_store_death,
    "weight_swap": run_weight_swap,
    "engine_deaths": run_engine_deaths,
    "entry_death": run_entry_death,
}
"""Measured part by name."""
