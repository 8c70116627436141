"""Scenarios in which the policies are measured.

Each runs on one cluster: a warm-up, which is not measured, and then a measured load,
in most scenarios with a burst, a fault or a change while it runs.
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
"""Matches the tokens in the event that an entry logs for each complete answer."""

HISTORY_COUNT = 24
"""Number of long prompt prefixes that recur; together they exceed the caches."""

HISTORY_TOKENS = 4096
"""Tokens of each history."""

ANSWER_TOKENS = 16

WARM_UP_INTERVAL_S = 0.12
"""Time between two questions of the warm-up."""

MEASURED_INTERVAL_S = 0.055
"""Mean time between two questions of the measured load."""

EXPORT_TIMEOUT_S = 12.0
"""Maximum wait for the exports that follow the warm-up."""

DEADLINE_MS = 30000
"""Deadline of each question."""


@dataclass
class Sample:
    """One measured question and its answer."""

    organisation: str
    answer: Answer
    is_correct: bool


@dataclass
class Measurement:
    """Results of the measured part of a scenario."""

    samples: list[Sample] = field(default_factory=list)
    recomputed_tokens: int = 0
    reused_tokens: int = 0
    link_busy_s: float = 0.0
    """Time during which the stores' links transferred data, summed over the stores."""
    duration_s: float = 0.0


async def get_counters(address: str) -> dict:
    """Return a stand-in's counters; an empty dict if it does not answer."""
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


class ScenarioRunner:
    """Generates load on a cluster and measures it.

    Args:
        cluster: A running cluster.
        seed: Seed of all random choices.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.random_source = random.Random(seed)
        self.http = HttpClientPool()
        deployment = cluster.deployment
        self.callers = [
            Caller(deployment, get_organisation(deployment, index), self.http)
            for index in range(deployment.organisations)
        ]
        self.histories = [
            make_text(f"history {index} of seed {seed}", HISTORY_TOKENS)
            for index in range(HISTORY_COUNT)
        ]
        self.measurement = Measurement()
        self.question_count = 0

    def get_live_entries(self) -> list[str]:
        """Return the addresses of the entries whose processes run."""
        names = [
            n for n in self.cluster.entries if self.cluster.processes[n].is_running
        ]
        return [self.cluster.http_addresses[name] for name in names]

    def get_allowed_versions(self) -> tuple[str, ...]:
        """Return the weight versions that an answer may be computed with."""
        return ("v1", "v2")

    async def send_question(
        self, history: int, caller: Caller, is_measured: bool
    ) -> None:
        """Send a history with a new question to a random entry; check the answer."""
        self.question_count += 1
        prompt = (
            f"{self.histories[history]}\nquestion {self.question_count}: which gate?"
        )
        entry = self.random_source.choice(self.get_live_entries())
        answer = await caller.send_completion(entry, prompt, ANSWER_TOKENS, DEADLINE_MS)
        expected = {
            caller.get_expected_text(prompt, ANSWER_TOKENS, version)
            for version in self.get_allowed_versions()
        }
        is_correct = not answer.is_complete or answer.text in expected
        if is_measured:
            sample = Sample(caller.organisation, answer, is_correct)
            self.measurement.samples.append(sample)

    def get_caller(self, history: int) -> Caller:
        """Return the caller of the organisation that a history belongs to."""
        return self.callers[history % len(self.callers)]

    async def run_load(
        self,
        count: int,
        mean_interval_s: float,
        is_measured: bool,
        histories: list[int] | None = None,
    ) -> None:
        """Send questions about random histories at random times, as an open loop.

        Intervals are exponentially distributed. Waits for all answers at the end.
        """
        choices = histories or list(range(HISTORY_COUNT))
        tasks = []
        for _ in range(count):
            history = self.random_source.choice(choices)
            question = self.send_question(
                history, self.get_caller(history), is_measured
            )
            tasks.append(asyncio.create_task(question))
            await asyncio.sleep(self.random_source.expovariate(1 / mean_interval_s))
        await asyncio.gather(*tasks)

    async def warm_up(self) -> None:
        """Ask about every history once, then wait for exports if they are on."""
        tasks = []
        for history in range(HISTORY_COUNT):
            question = self.send_question(history, self.get_caller(history), False)
            tasks.append(asyncio.create_task(question))
            await asyncio.sleep(WARM_UP_INTERVAL_S)
        await asyncio.gather(*tasks)
        if self.cluster.options.export == "on":
            await self.wait_for_exports()

    async def wait_for_exports(self) -> None:
        """Wait until the number of stored blocks stays constant for a second."""
        deadline_s = time.monotonic() + EXPORT_TIMEOUT_S
        previous_blocks = -1
        while time.monotonic() < deadline_s:
            all_counters = await self.get_all_counters("store")
            blocks = sum(counters.get("blocks", 0) for counters in all_counters)
            if blocks == previous_blocks:
                return
            previous_blocks = blocks
            await asyncio.sleep(1.0)

    async def get_all_counters(self, kind: str) -> list[dict]:
        """Return the counters of all stand-ins of a kind."""
        addresses = [
            address
            for name, address in self.cluster.http_addresses.items()
            if name.startswith(kind)
        ]
        return list(await asyncio.gather(*(get_counters(item) for item in addresses)))

    async def sum_counter(self, kind: str, key: str) -> float:
        """Return a counter's sum over all stand-ins of a kind."""
        return sum(
            counters.get(key, 0) for counters in await self.get_all_counters(kind)
        )

    def count_logged_tokens(self, offsets: dict[Path, int]) -> tuple[int, int]:
        """Return the tokens recomputed and reused by the answers since some offsets.

        They come from the entries' logs, because a killed engine loses its counters.
        """
        recomputed = reused = 0
        for path in self.cluster.get_log_files():
            text = path.read_text()[offsets.get(path, 0) :]
            for token_counts in USAGE_PATTERN.findall(text):
                recomputed += int(token_counts[0])
                reused += int(token_counts[1])
        return recomputed, reused

    async def measure(self, load) -> Measurement:
        """Run the measured part of a scenario and return its results."""
        offsets = {path: len(path.read_text()) for path in self.cluster.get_log_files()}
        busy_s = await self.sum_counter("store", "busy_s")
        started_s = time.monotonic()
        await load
        result = self.measurement
        result.duration_s = time.monotonic() - started_s
        recomputed, reused = self.count_logged_tokens(offsets)
        result.recomputed_tokens = recomputed
        result.reused_tokens = reused
        result.link_busy_s = await self.sum_counter("store", "busy_s") - busy_s
        return result


async def run_returning(runner: ScenarioRunner) -> None:
    """Histories recur after they have been evicted from the engines' caches."""
    await runner.run_load(160, MEASURED_INTERVAL_S, True)


async def run_moving_peak(runner: ScenarioRunner) -> None:
    """The load moves from one quarter of the histories to the next."""
    part_size = HISTORY_COUNT // 4
    for start in range(0, HISTORY_COUNT, part_size):
        histories = list(range(start, start + part_size))
        await runner.run_load(40, MEASURED_INTERVAL_S, True, histories)


async def run_burst(runner: ScenarioRunner) -> None:
    """One large organisation sends a burst while the others continue at their rate."""
    large = runner.callers[0]

    async def burst() -> None:
        await asyncio.sleep(1.0)
        await asyncio.gather(
            *(runner.send_question(0, large, False) for _ in range(120))
        )

    # The other nine organisations' histories.
    histories = [index for index in range(HISTORY_COUNT) if index % 10 != 0]
    await asyncio.gather(
        burst(), runner.run_load(130, MEASURED_INTERVAL_S, True, histories)
    )


async def run_slow_link(runner: ScenarioRunner) -> None:
    """One store's link has a tenth of its bandwidth."""
    rate = runner.cluster.deployment.link_bytes_per_s / 10
    client = HttpClient(runner.cluster.http_addresses["store1"])
    body = msgspec.json.encode({"bytes_per_s": rate})
    answer = await client.request(
        "POST", "/v1/debug/link", [], body, first_byte_timeout_s=2.0
    )
    await answer.read()
    client.close()
    await runner.run_load(160, MEASURED_INTERVAL_S, True)


async def run_store_death(runner: ScenarioRunner) -> None:
    """A full store is killed."""

    async def kill() -> None:
        await asyncio.sleep(1.0)
        await asyncio.to_thread(runner.cluster.processes["store1"].kill)

    await asyncio.gather(kill(), runner.run_load(160, MEASURED_INTERVAL_S, True))


async def run_weight_swap(runner: ScenarioRunner) -> None:
    """A new weight version is rolled out."""

    async def swap() -> None:
        await asyncio.sleep(0.5)
        text = make_document(runner.cluster.deployment, "v2")
        await runner.cluster.operator.apply_with_retries(text)

    await asyncio.gather(swap(), runner.run_load(160, 2 * MEASURED_INTERVAL_S, True))


async def run_engine_deaths(runner: ScenarioRunner) -> None:
    """Every 2.5 s another engine is killed and restarted."""
    stop_requested = asyncio.Event()

    async def kill() -> None:
        kill_count = 0
        while not stop_requested.is_set():
            kill_count += 1
            await asyncio.sleep(2.5)
            name = f"engine{kill_count % runner.cluster.deployment.engines + 1}"
            process = runner.cluster.processes[name]
            await asyncio.to_thread(process.kill)
            process.start()

    kill_task = asyncio.create_task(kill())
    await runner.run_load(160, 1.5 * MEASURED_INTERVAL_S, True)
    stop_requested.set()
    await kill_task


async def run_entry_death(runner: ScenarioRunner) -> None:
    """An entry is killed."""

    async def kill() -> None:
        await asyncio.sleep(1.5)
        await asyncio.to_thread(runner.cluster.processes["e1"].kill)

    await asyncio.gather(kill(), runner.run_load(160, MEASURED_INTERVAL_S, True))


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
"""The measured part of each scenario, by the scenario's name."""
