"""Demonstrates reuse of kept context and orders that run once, on real processes.

Starts a complete deployment and asks about a long history with cold caches, at once
through another entry, and again after the engines have evicted the history. Then it
sends one order twice.

Run it with `make demo DEPLOYMENT=parafina` or `DEPLOYMENT=stilepath`. The exit
code is 1 if any answer is wrong.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from harness.caller import Answer, Caller
from harness.cluster import Cluster, ClusterOptions
from harness.deployment import DEPLOYMENTS, get_organisation
from laburnumpitch.transport.http_client import HttpClient

ROOT = Path(__file__).resolve().parent.parent
HISTORY_CHARS = 24_000

CACHE_PIECES = 26
"""Capacity of an engine's cache in pieces; the history takes most of it."""

EXPORT_TIMEOUT_S = 10.0
"""Maximum wait for the export of the history to the stores."""


@dataclass(frozen=True)
class Row:
    """One row of the printed table: a question and the cost of its answer."""

    name: str
    first_token_ms: float
    recomputed_share: float
    link_bytes: int
    is_correct: bool


def read_history_text() -> str:
    """Return a long text, taken from the project's documents and sources."""
    paths = sorted(ROOT.glob("docs/**/*.md")) + sorted(ROOT.glob("src/**/*.py"))
    text = "\n".join(path.read_text() for path in paths)
    return text[:HISTORY_CHARS]


async def get_counters(address: str) -> dict:
    """Return a stand-in's counters."""
    client = HttpClient(address)
    answer = await client.request(
        "GET", "/v1/debug/state", [], b"", first_byte_timeout_s=5.0
    )
    counters = msgspec.json.decode(await answer.read())
    client.close()
    return counters


class Demo:
    """The steps of the demonstration.

    Args:
        cluster: A running deployment.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.entries = [cluster.http_addresses[name] for name in cluster.entries]
        organisation = get_organisation(cluster.deployment, 0)
        self.caller = Caller(cluster.deployment, organisation)
        self.history = read_history_text()
        self.rows: list[Row] = []

    async def sum_counter(self, kind: str, key: str) -> int:
        """Return a counter's sum over all stand-ins of a kind."""
        names = [name for name in self.cluster.http_addresses if name.startswith(kind)]
        all_counters = [
            await get_counters(self.cluster.http_addresses[name]) for name in names
        ]
        return sum(counters[key] for counters in all_counters)

    async def ask_question(self, name: str, entry: int, prompt: str) -> Answer:
        """Send a prompt to an entry, check the answer and add a row to the table."""
        recomputed = await self.sum_counter("engine", "recomputed_tokens")
        reused = await self.sum_counter("engine", "reused_tokens")
        imported = await self.sum_counter("engine", "imported_bytes")
        answer = await self.caller.send_completion(self.entries[entry], prompt)
        recomputed = await self.sum_counter("engine", "recomputed_tokens") - recomputed
        reused = await self.sum_counter("engine", "reused_tokens") - reused
        imported = await self.sum_counter("engine", "imported_bytes") - imported
        is_correct = (
            answer.is_complete and answer.text == self.caller.get_expected_text(prompt)
        )
        recomputed_share = recomputed / max(1, recomputed + reused)
        self.rows.append(
            Row(
                name,
                answer.first_token_s * 1000,
                recomputed_share,
                imported,
                is_correct,
            )
        )
        return answer

    async def wait_for_exports(self, pieces: int) -> None:
        """Wait until the stores hold some number of pieces, or until the time-out."""
        deadline_s = time.monotonic() + EXPORT_TIMEOUT_S
        while await self.sum_counter("store", "blocks") < pieces:
            if time.monotonic() > deadline_s:
                return
            await asyncio.sleep(0.1)

    async def evict_history(self) -> None:
        """Evict the history by filling the engines' caches with other prompts."""
        other_caller = Caller(
            self.cluster.deployment, get_organisation(self.cluster.deployment, 1)
        )
        prompt_chars = self.cluster.deployment.piece_chars * CACHE_PIECES
        prompt_count = self.cluster.deployment.engines * 3
        prompts = [
            f"filler {number} ".ljust(prompt_chars, "x")
            for number in range(prompt_count)
        ]
        await asyncio.gather(
            *(
                other_caller.send_completion(
                    self.entries[number % len(self.entries)], prompt, 1
                )
                for number, prompt in enumerate(prompts)
            )
        )

    async def run(self) -> bool:
        """Run all steps, print the table and return whether all results are correct."""
        settings = self.cluster.deployment
        print(f"asking a history of {len(self.history) // 4} tokens, cold", flush=True)
        await self.ask_question(
            "cold", 0, self.history + "\nIs the route still viable?"
        )
        await self.ask_question(
            "at once, other entry", 1, self.history + "\nWhich gate?"
        )
        await self.wait_for_exports(len(self.history) // settings.piece_chars)
        print("filling the engines' memory with other prompts", flush=True)
        await self.evict_history()
        print("asking again through another entry", flush=True)
        await self.ask_question(
            "returning, evicted", 2, self.history + "\nHow many cans?"
        )
        print("sending one order twice", flush=True)
        order_answers = [
            await self.caller.send_order(entry, "demo-order", settings.item)
            for entry in self.entries[:2]
        ]
        name = f"{self.caller.organisation}/demo-order"
        run_count = self.cluster.read_orders().get(name, 0)
        self.print_table(run_count)
        is_order_correct = (
            run_count == 1 and order_answers[0].body == order_answers[1].body
        )
        return is_order_correct and all(row.is_correct for row in self.rows)

    def print_table(self, run_count: int) -> None:
        """Print the measured rows and the number of runs of the order."""
        print(f"\n{self.cluster.deployment.name}")
        print(f"{'':24}{'first token':>12}{'recomputed':>12}{'over links':>12}  answer")
        for row in self.rows:
            print(
                f"{row.name:24}{row.first_token_ms:>9.0f} ms"
                f"{row.recomputed_share:>11.0%} {row.link_bytes / 1e6:>8.2f} MB"
                f"  {'right' if row.is_correct else 'WRONG'}"
            )
        print(f"order sent 2 times, ran {run_count} time(s)\n")


def main() -> int:
    """Start a deployment, run the demonstration and stop the deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="parafina")
    arguments = parser.parse_args()
    deployment = replace(DEPLOYMENTS[arguments.deployment], cache_pieces=CACHE_PIECES)
    print(f"starting {deployment.name}: {deployment.controls} control VMs,", end=" ")
    print(f"{deployment.entries} entries, {deployment.engines} engines,", end=" ")
    print(f"{deployment.services} services, {deployment.stores} stores", flush=True)
    with Cluster(deployment, ClusterOptions(has_proxies=False)) as cluster:
        is_correct = asyncio.run(Demo(cluster).run())
    print("all answers right" if is_correct else "SOME ANSWERS ARE WRONG")
    return 0 if is_correct else 1


if __name__ == "__main__":
    sys.exit(main())
