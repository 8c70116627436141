"""Shows a long history asked cold, asked again after its engine memory is gone,
and an order sent twice, on a whole deployment of real processes.

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
"""Pieces in an engine's memory; the history takes most of them."""
EXPORT_WAIT_S = 10.0


@dataclass(frozen=True)
class Row:
    """One line of the table."""

    name: str
    first_token_ms: float
    recomputed_share: float
    link_bytes: int
    is_right: bool


def read_history() -> str:
    """Return a long text: the project's own documents and sources."""
    paths = sorted(ROOT.glob("docs/**/*.md")) + sorted(ROOT.glob("src/**/*.py"))
    text = "\n".join(path.read_text() for path in paths)
    return text[:HISTORY_CHARS]


async def get_state(address: str) -> dict:
    """Return a stand-in's counters."""
    client = HttpClient(address)
    answer = await client.request(
        "GET", "/v1/debug/state", [], b"", first_byte_timeout_s=5.0
    )
    state = msgspec.json.decode(await answer.read())
    client.close()
    return state


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
        self.history = read_history()
        self.rows: list[Row] = []

    async def sum_states(self, kind: str, key: str) -> int:
        """Return a counter's sum over all stand-ins of a kind."""
        names = [name for name in self.cluster.http_addresses if name.startswith(kind)]
        states = [await get_state(self.cluster.http_addresses[name]) for name in names]
        return sum(state[key] for state in states)

    async def ask(self, name: str, entry: int, prompt: str) -> Answer:
        """Ask, check the answer and add a row."""
        recomputed = await self.sum_states("engine", "recomputed_tokens")
        reused = await self.sum_states("engine", "reused_tokens")
        imported = await self.sum_states("engine", "imported_bytes")
        answer = await self.caller.send_completion(self.entries[entry], prompt)
        recomputed = await self.sum_states("engine", "recomputed_tokens") - recomputed
        reused = await self.sum_states("engine", "reused_tokens") - reused
        imported = await self.sum_states("engine", "imported_bytes") - imported
        is_right = answer.is_complete and answer.text == self.caller.get_expected_text(
            prompt
        )
        share = recomputed / max(1, recomputed + reused)
        self.rows.append(
            Row(name, answer.first_token_s * 1000, share, imported, is_right)
        )
        return answer

    async def wait_exported(self, pieces: int) -> None:
        """Wait until the stores hold the history."""
        deadline_s = time.monotonic() + EXPORT_WAIT_S
        while await self.sum_states("store", "blocks") < pieces:
            if time.monotonic() > deadline_s:
                return
            await asyncio.sleep(0.1)

    async def evict(self) -> None:
        """Fill every engine's memory with other prompts."""
        other = Caller(
            self.cluster.deployment, get_organisation(self.cluster.deployment, 1)
        )
        size = self.cluster.deployment.piece_chars * CACHE_PIECES
        count = self.cluster.deployment.engines * 3
        prompts = [f"filler {number} ".ljust(size, "x") for number in range(count)]
        await asyncio.gather(
            *(
                other.send_completion(
                    self.entries[number % len(self.entries)], prompt, 1
                )
                for number, prompt in enumerate(prompts)
            )
        )

    async def run(self) -> bool:
        """Run all steps, print the table and return whether all was right."""
        size = self.cluster.deployment
        print(f"asking a history of {len(self.history) // 4} tokens, cold", flush=True)
        await self.ask("cold", 0, self.history + "\nIs the route still viable?")
        await self.ask("at once, other entry", 1, self.history + "\nWhich gate?")
        await self.wait_exported(len(self.history) // size.piece_chars)
        print("filling the engines' memory with other prompts", flush=True)
        await self.evict()
        print("asking again through another entry", flush=True)
        await self.ask("returning, evicted", 2, self.history + "\nHow many cans?")
        print("sending one order twice", flush=True)
        orders = [
            await self.caller.send_order(entry, "demo-order", size.item)
            for entry in self.entries[:2]
        ]
        name = f"{self.caller.organisation}/demo-order"
        runs = self.cluster.read_orders().get(name, 0)
        self.print_table(runs)
        is_order_right = runs == 1 and orders[0].body == orders[1].body
        return is_order_right and all(row.is_right for row in self.rows)

    def print_table(self, runs: int) -> None:
        """Print what was measured."""
        print(f"\n{self.cluster.deployment.name}")
        print(f"{'':24}{'first token':>12}{'recomputed':>12}{'over links':>12}  answer")
        for row in self.rows:
            print(
                f"{row.name:24}{row.first_token_ms:>9.0f} ms"
                f"{row.recomputed_share:>11.0%} {row.link_bytes / 1e6:>8.2f} MB"
                f"  {'right' if row.is_right else 'WRONG'}"
            )
        print(f"order sent 2 times, ran {runs} time(s)\n")


def main() -> int:
    """Start a deployment, run the demonstration and end it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="parafina")
    arguments = parser.parse_args()
    deployment = replace(DEPLOYMENTS[arguments.deployment], cache_pieces=CACHE_PIECES)
    print(f"starting {deployment.name}: {deployment.controls} control VMs,", end=" ")
    print(f"{deployment.entries} entries, {deployment.engines} engines,", end=" ")
    print(f"{deployment.services} services, {deployment.stores} stores", flush=True)
    with Cluster(deployment, ClusterOptions(has_proxies=False)) as cluster:
        is_right = asyncio.run(Demo(cluster).run())
    print("all answers right" if is_right else "SOME ANSWERS ARE WRONG")
    return 0 if is_right else 1


if __name__ == "__main__":
    sys.exit(main())
