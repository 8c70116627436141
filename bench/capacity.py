"""Measures the slopes behind docs/CAPACITY.md, one key=value line a point.

Each slope has three points or more. A slope line gives the least squares fit and
what it comes to at the size to design for.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec
import zmq.asyncio

from harness.deployment import (
    PARAFINA,
    ROOT_KEY,
    get_api_key,
    hash_key,
    make_document,
    make_organisation_text,
)
from harness.ports import reserve_port
from harness.process import Process
from laburnumpitch.context.local_directory import (
    LocalDirectory,
    PieceBlock,
    TargetReport,
)
from laburnumpitch.control.commands import (
    Claim,
    KeptAnswer,
    Section,
    SectionChange,
    SettleClaim,
)
from laburnumpitch.control.document import split_sections
from laburnumpitch.control.log_store import LogStore
from laburnumpitch.logging import configure_logging
from laburnumpitch.membership.configuration import Configuration
from laburnumpitch.membership.control_client import ControlClient
from laburnumpitch.membership.messages import (
    NodeInfo,
    OperatorCall,
    QuotaCall,
    QuotaRequest,
    ReportTraffic,
    TargetInfo,
    TargetLoad,
    TrafficReport,
)
from laburnumpitch.membership.session import Session
from laburnumpitch.metrics import Metrics
from laburnumpitch.node import get_rss_bytes
from laburnumpitch.transport.rpc import RpcPool

NODES = 330
TARGETS = 720
ORGANISATIONS = 19_000
CHANGES_PER_DAY = 3_300
REQUESTS_PER_S = 1_800
PIECES_PER_NODE = 100_000
"""3.3 million prompts of ten pieces over 330 nodes."""
SETTLE_S = 3.0
MEASURE_S = 6.0
LOAD_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 20.0
ELECTIONS = 9


def print_line(**fields: object) -> None:
    """Print one key=value line."""
    parts = []
    for key, value in fields.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        parts.append(f"{key}={text}")
    print(" ".join(parts), flush=True)


def print_slope(role: str, measure: str, points: list, at: float) -> None:
    """Print the fit of (x, y) points and its value at a size."""
    fit = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    print_line(
        role=role,
        slope=measure,
        per_unit=fit.slope,
        at_zero=fit.intercept,
        at=at,
        derived=fit.intercept + fit.slope * at,
    )


class ControlProcess:
    """A real control replica, alone, with a disk."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="laburnumpitch-capacity-"))
        self.port = reserve_port()
        self.process = Process(
            "control",
            [
                *("-m", "laburnumpitch", "node", "--roles", "control"),
                *("--node-id", "c1", "--rpc-port", str(self.port)),
                *("--data-folder", str(self.folder / "data")),
                *("--root-key-hash", hash_key(ROOT_KEY)),
                *("--snapshot-entries", "1000000"),
                *("--log-file", str(self.folder / "c1.log")),
            ],
            self.folder,
        )
        self.process.start()
        self.context = zmq.asyncio.Context()
        self.pool = RpcPool(self.context)
        self.address = f"127.0.0.1:{self.port}"
        self.client = ControlClient(self.pool, {"c1": self.address})

    def close(self) -> None:
        """End the process and remove its files."""
        self.process.kill()
        self.pool.close()
        self.context.term()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def report(self) -> TrafficReport:
        """Return the process's counters."""
        return await self.pool.get(self.address).call(ReportTraffic(), CALL_TIMEOUT_S)

    async def apply(self, text: str) -> dict:
        """Apply the sections of a text that do not exist yet."""
        sections = [
            SectionChange(name, 0, body) for name, body in split_sections(text).items()
        ]
        body = {"change_id": f"{time.time_ns()}", "sections": sections}
        call = OperatorCall("root", ROOT_KEY, "apply", msgspec.json.encode(body))
        answer = await self.client.call(call, CALL_TIMEOUT_S, CALL_TIMEOUT_S)
        return msgspec.json.decode(answer.body)


# Membership: heartbeats, leases, view, loads.


def make_target(index: int) -> TargetInfo:
    """Return a target as it announces itself."""
    name = f"engine-{index:04d}"
    return TargetInfo(name, "engine", f"pool-{index % 12}", "10.0.0.1:80", "dc", 1)


async def run_sessions(nodes: int, targets: int, changing: bool) -> dict[str, float]:
    """Run sessions of many nodes against one control replica."""
    control = ControlProcess()
    sessions = []
    try:
        await control.client.call(
            QuotaCall("x", []), CALL_TIMEOUT_S
        )  # Waits for the leader.
        for index in range(nodes):
            pool = RpcPool(control.context)
            client = ControlClient(pool, {"c1": control.address})
            node = NodeInfo(f"n{index}", 1, f"10.0.0.{index}:1", "10.0.0.1:2", "dc")
            session = Session(client, node, Metrics())
            await session.start()
            sessions.append(session)
            await asyncio.sleep(0.5 / nodes)
        announcing = asyncio.create_task(announce_targets(sessions, targets, changing))
        # The first whole view of each node is not part of the steady state.
        while any(len(s.view.targets.items) < targets for s in sessions):
            await asyncio.sleep(0.5)
        await asyncio.sleep(SETTLE_S)
        before = await control.report()
        started_s = time.monotonic()
        await asyncio.sleep(MEASURE_S)
        after = await control.report()
        duration_s = time.monotonic() - started_s
        announcing.cancel()
        received = after.received_bytes - before.received_bytes
        sent = after.sent_bytes - before.sent_bytes
        leased = sum(session.has_lease for session in sessions)
        return {
            "leader_cpu_share": (after.cpu_s - before.cpu_s) / duration_s,
            "node_bytes_per_s": (received + sent) / duration_s / nodes,
            "leader_messages_per_s": (after.sent_messages - before.sent_messages)
            / duration_s,
            "leader_rss_mb": after.rss_bytes / 1e6,
            "nodes_with_lease": leased,
        }
    finally:
        for session in sessions:
            await session.close()
            session.control.pool.close()
        control.close()


async def announce_targets(
    sessions: list[Session], targets: int, changing: bool
) -> None:
    """Let targets announce themselves to one node after the other."""
    sequence = 0
    while targets:
        sequence += 1
        for index in range(targets):
            session = sessions[(index + sequence) % len(sessions)]
            load = TargetLoad(
                f"engine-{index:04d}",
                1,
                sequence,
                running=(sequence + index) % 8 if changing else 1,
                weight_version="v1",
            )
            session.announce(make_target(index), load)
            if index % 50 == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(LOAD_INTERVAL_S)


def measure_membership() -> None:
    """Slopes over nodes, and over targets."""
    points: dict[str, list] = {}
    for nodes in (40, 120, 330):
        result = asyncio.run(run_sessions(nodes, 0, False))
        print_line(role="membership", nodes=nodes, targets=0, **result)
        for key, value in result.items():
            points.setdefault(key, []).append((nodes, value))
    print_slope("membership", "leader_cpu_share", points["leader_cpu_share"], NODES)
    print_slope("membership", "node_bytes_per_s", points["node_bytes_per_s"], NODES)
    points = {}
    for targets in (0, 240, 720):
        result = asyncio.run(run_sessions(120, targets, True))
        print_line(role="view", nodes=120, targets=targets, **result)
        for key, value in result.items():
            points.setdefault(key, []).append((targets, value))
    print_slope("view", "node_bytes_per_s", points["node_bytes_per_s"], TARGETS)
    print_slope("view", "leader_cpu_share", points["leader_cpu_share"], TARGETS)
    result = asyncio.run(run_sessions(NODES, TARGETS, True))
    print_line(role="view", nodes=NODES, targets=TARGETS, **result)


# Configuration.


def measure_configuration() -> None:
    """Memory and time of a node's configuration over organisations."""
    memory = []
    for count in (1000, 5000, ORGANISATIONS):
        sections = [
            Section(
                f"organisations.o{index}",
                1,
                1,
                make_organisation_text(PARAFINA, f"o{index}"),
            )
            for index in range(count)
        ]
        size = len(msgspec.msgpack.encode(sections))
        gc.collect()
        before = get_rss_bytes()
        started_s = time.perf_counter()
        configuration = Configuration()
        configuration.take(1, sections)
        duration_s = time.perf_counter() - started_s
        used = get_rss_bytes() - before
        name, _ = configuration.authenticate(get_api_key(f"o{count - 1}"))
        assert name == f"o{count - 1}"
        memory.append((count, used / 1e6))
        print_line(
            role="configuration",
            organisations=count,
            node_rss_mb=used / 1e6,
            whole_document_mb=size / 1e6,
            take_s=duration_s,
        )
        del sections, configuration
    print_slope("configuration", "node_rss_mb", memory, ORGANISATIONS)


async def run_changes(organisations: int) -> dict[str, float]:
    """Commit changes one after the other on a document of some size."""
    control = ControlProcess()
    try:
        await control.apply(make_document(replace(PARAFINA, organisations=0)))
        for start in range(0, organisations, 500):
            texts = [
                make_organisation_text(PARAFINA, f"o{index}")
                for index in range(start, min(organisations, start + 500))
            ]
            result = await control.apply("\n".join(texts))
            assert not result["error_code"], result
        before = await control.report()
        times = []
        for index in range(20):
            started_s = time.perf_counter()
            await control.apply(make_organisation_text(PARAFINA, f"new{index}"))
            times.append(time.perf_counter() - started_s)
        after = await control.report()
        return {
            "change_ms": statistics.median(times) * 1000,
            "leader_cpu_ms_per_change": (after.cpu_s - before.cpu_s) / 20 * 1000,
            "leader_rss_mb": after.rss_bytes / 1e6,
        }
    finally:
        control.close()


def measure_changes() -> None:
    """Time of a change over the size of the document."""
    points = []
    for organisations in (500, 2000, 6000):
        result = asyncio.run(run_changes(organisations))
        print_line(role="document", organisations=organisations, **result)
        points.append((organisations, result["change_ms"]))
    print_slope("document", "change_ms", points, ORGANISATIONS)


# Directory.


def make_piece(index: int) -> str:
    """Return a name of a piece."""
    return f"{index % 4096:08x}{index:032x}"


def measure_directory() -> None:
    """Memory and time of a node's directory over pieces."""
    memory = []
    for count in (25_000, 50_000, PIECES_PER_NODE):
        gc.collect()
        before = get_rss_bytes()
        directory = LocalDirectory()
        for start in range(0, count, 1000):
            pieces = [make_piece(index) for index in range(start, start + 1000)]
            blocks = {
                piece: PieceBlock(
                    "store-1", "10.0.0.1:80", 1, 65536, f"{index:064x}", False
                )
                for index, piece in enumerate(pieces, start)
            }
            directory.apply_report(TargetReport("store-1", 1, [], [], blocks))
            directory.apply_report(TargetReport("engine-1", 1, pieces[:100], [], {}))
        gc.collect()
        used = get_rss_bytes() - before
        started_s = time.perf_counter()
        for index in range(0, count, 10):
            directory.look_up(make_piece(index))
        lookup_us = (time.perf_counter() - started_s) / (count / 10) * 1e6
        memory.append((count, used / 1e6))
        print_line(
            role="directory",
            pieces=count,
            rss_mb=used / 1e6,
            bytes_per_piece=used / count,
            lookup_us=lookup_us,
        )
        del directory
    print_slope("directory", "rss_mb", memory, PIECES_PER_NODE)


# Claims and quotas.


async def run_claims(concurrency: int) -> dict[str, float]:
    """Commit claims and their outcomes."""
    control = ControlProcess()
    times: list[float] = []
    stop_s = time.monotonic() + MEASURE_S

    async def work(number: int) -> None:
        count = 0
        answer = KeptAnswer(201, [("content-type", "application/json")], b"x" * 200)
        while time.monotonic() < stop_s:
            count += 1
            key = f"{number}-{count}"
            started_s = time.perf_counter()
            await control.client.propose(
                Claim("org", key, "d" * 64, key, "n1", 1), CALL_TIMEOUT_S
            )
            times.append(time.perf_counter() - started_s)
            await control.client.propose(
                SettleClaim("org", key, key, True, answer), CALL_TIMEOUT_S
            )

    try:
        await control.client.call(QuotaCall("x", []), CALL_TIMEOUT_S)
        before = await control.report()
        stop_s = time.monotonic() + MEASURE_S
        started_s = time.monotonic()
        await asyncio.gather(*(work(number) for number in range(concurrency)))
        duration_s = time.monotonic() - started_s
        after = await control.report()
        times.sort()
        return {
            "claims_per_s": len(times) / duration_s,
            "commit_p50_ms": times[len(times) // 2] * 1000,
            "commit_p95_ms": times[int(len(times) * 0.95)] * 1000,
            "leader_cpu_ms_per_claim": (after.cpu_s - before.cpu_s) / len(times) * 1000,
            "bytes_per_claim": (after.rss_bytes - before.rss_bytes) / len(times),
        }
    finally:
        control.close()


async def run_quota(rate: int) -> dict[str, float]:
    """Ask for tokens at a rate, as entries do for each request."""
    control = ControlProcess()
    try:
        await control.apply(make_document(PARAFINA))
        before = await control.report()
        started_s = time.monotonic()
        pending = set()
        for number in range(int(rate * MEASURE_S)):
            request = QuotaRequest(f"parafina-{number % 10}", 1.0)
            call = control.client.call(QuotaCall("n1", [request]), CALL_TIMEOUT_S)
            pending.add(asyncio.create_task(call))
            delay_s = started_s + number / rate - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            pending = {task for task in pending if not task.done()}
        await asyncio.gather(*pending)
        after = await control.report()
        duration_s = time.monotonic() - started_s
        return {"leader_cpu_share": (after.cpu_s - before.cpu_s) / duration_s}
    finally:
        control.close()


def measure_claims() -> None:
    """Rates of claims, and the cost of quota calls."""
    for concurrency in (1, 16, 64):
        result = asyncio.run(run_claims(concurrency))
        print_line(role="claims", concurrency=concurrency, **result)
    points = []
    for rate in (100, 300, 600):
        result = asyncio.run(run_quota(rate))
        print_line(role="limits", calls_per_s=rate, **result)
        points.append((rate, result["leader_cpu_share"]))
    print_slope("limits", "leader_cpu_share", points, REQUESTS_PER_S)


# Recovery.


async def fill_log(control: ControlProcess, entries: int) -> None:
    """Commit some number of claims."""
    numbers = iter(range(entries))

    async def work() -> None:
        for number in numbers:
            key = str(number)
            command = Claim("org", key, "d" * 64, key, "n1", 1)
            await control.client.propose(command, CALL_TIMEOUT_S)

    await asyncio.gather(*(work() for _ in range(200)))


def measure_recovery() -> None:
    """Time from a replica's start to its leadership over the log's length."""
    points = []
    for entries in (2_000, 8_000, 20_000):
        control = ControlProcess()

        async def fill() -> None:
            await control.client.call(QuotaCall("x", []), CALL_TIMEOUT_S)
            await fill_log(control, entries)
            control.pool.close()

        async def ask() -> float:
            context = zmq.asyncio.Context()
            pool = RpcPool(context)
            client = ControlClient(pool, {"c1": control.address})
            started_s = time.monotonic()
            await client.call(QuotaCall("x", []), 60.0)
            duration_s = time.monotonic() - started_s
            pool.close()
            context.term()
            return duration_s

        try:
            asyncio.run(fill())
            control.process.kill()
            started_s = time.perf_counter()
            stored = LogStore(control.folder / "data").load()
            load_s = time.perf_counter() - started_s
            assert stored.log.last_index >= entries
            control.process.start()
            ready_s = asyncio.run(ask())
            points.append((entries, ready_s))
            print_line(role="log", entries=entries, read_s=load_s, ready_s=ready_s)
        finally:
            control.close()
    print_slope("log", "ready_s", points, 20_000)


# Whole processes.


def measure_processes() -> None:
    """RSS and CPU of 12 entries and 5 control replicas, idle and under load."""
    from harness.cluster import Cluster, ClusterOptions
    from harness.load import LoadGenerator, LoadShape

    deployment = replace(PARAFINA, entries=12, controls=5)
    with Cluster(deployment, ClusterOptions(has_proxies=False)) as cluster:
        names = [*cluster.controls, *cluster.entries]

        async def sample(duration_s: float) -> dict[str, dict[str, float]]:
            context = zmq.asyncio.Context()
            pool = RpcPool(context)
            before = {}
            for name in names:
                client = pool.get(cluster.rpc_addresses[name])
                before[name] = await client.call(ReportTraffic(), CALL_TIMEOUT_S)
            await asyncio.sleep(duration_s)
            result = {}
            for name in names:
                client = pool.get(cluster.rpc_addresses[name])
                after = await client.call(ReportTraffic(), CALL_TIMEOUT_S)
                start = before[name]
                sent = after.sent_bytes - start.sent_bytes
                received = after.received_bytes - start.received_bytes
                result[name] = {
                    "cpu_share": (after.cpu_s - start.cpu_s) / duration_s,
                    "rss_mb": after.rss_bytes / 1e6,
                    "bytes_per_s": (sent + received) / duration_s,
                }
            pool.close()
            context.term()
            return result

        async def sample_loaded() -> tuple[dict, int]:
            load = LoadGenerator(cluster, LoadShape(callers=40, pause_s=0.2), seed=1)
            load.start()
            await asyncio.sleep(2)
            count = len(load.history.records)
            result = await sample(MEASURE_S)
            count = len(load.history.records) - count
            await load.stop()
            return result, count

        idle = asyncio.run(sample(MEASURE_S))
        loaded, count = asyncio.run(sample_loaded())
        for state, result in (("idle", idle), ("loaded", loaded)):
            for role, group in (
                ("control", cluster.controls),
                ("entry", cluster.entries),
            ):
                for key in ("cpu_share", "rss_mb", "bytes_per_s"):
                    values = [result[name][key] for name in group]
                    print_line(
                        role=role,
                        state=state,
                        measure=key,
                        processes=len(group),
                        median=statistics.median(values),
                        most=max(values),
                    )
        print_line(role="entry", state="loaded", requests_per_s=count / MEASURE_S)


def measure_elections() -> None:
    """Time without a committed write after a leader's death, five replicas."""
    from harness.cluster import Cluster, ClusterOptions

    deployment = replace(
        PARAFINA, controls=5, entries=1, engines=0, services=0, stores=0
    )
    with Cluster(deployment, ClusterOptions(has_proxies=False)) as cluster:
        operator = cluster.operator
        gaps = []
        for number in range(ELECTIONS):
            status = operator.call("status", {})
            leader = cluster.processes[status["leader"].partition("#")[0]]
            leader.kill()
            started_s = time.monotonic()
            text = make_organisation_text(PARAFINA, f"election-{number}")
            asyncio.run(operator.apply_with_retries(text))
            gaps.append(time.monotonic() - started_s)
            leader.start()
            # The killed replica follows again before the next one is killed.
            time.sleep(SETTLE_S)
        print_line(
            role="log",
            elections=ELECTIONS,
            write_gap_median_s=statistics.median(gaps),
            write_gap_worst_s=max(gaps),
        )


MEASURES: dict[str, Callable[[], None]] = {
    "membership": measure_membership,
    "configuration": measure_configuration,
    "changes": measure_changes,
    "directory": measure_directory,
    "claims": measure_claims,
    "recovery": measure_recovery,
    "elections": measure_elections,
    "processes": measure_processes,
}
"""Measurements by name."""


def main() -> int:
    """Read the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("only", nargs="*", choices=[*MEASURES, []], default=[])
    arguments = parser.parse_args()
    configure_logging("capacity", "/dev/null")
    for name in arguments.only or MEASURES:
        MEASURES[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
