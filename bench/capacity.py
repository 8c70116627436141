"""Measures the slopes behind docs/CAPACITY.md; prints one key=value line per point.

Each slope is fitted to three points or more. A slope line gives the least squares fit
and its value at the size that the system is designed for.
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
"""Number of nodes to design for."""

TARGETS = 720
"""Number of targets to design for."""

ORGANISATIONS = 19_000
"""Number of organisations to design for."""

CHANGES_PER_DAY = 3_300
"""Configuration changes to design for."""

REQUESTS_PER_S = 1_800
"""Request rate to design for."""

PIECES_PER_NODE = 100_000
"""Directory entries of a node: 3.3 million prompts of ten pieces, over 330 nodes."""

SETTLE_S = 3.0
"""Time for a cluster to reach a steady state."""

MEASUREMENT_S = 6.0
"""Duration of a measurement of rates."""

LOAD_REPORT_INTERVAL_S = 1.0
"""Time between two announcements of a target."""

CALL_TIMEOUT_S = 20.0
"""Time limit of a call to a control replica or another node."""

ELECTION_COUNT = 9
"""Number of leaders that are killed."""


def print_line(**fields: object) -> None:
    """Print one key=value line."""
    parts = []
    for key, value in fields.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        parts.append(f"{key}={text}")
    print(" ".join(parts), flush=True)


def print_slope(role: str, metric: str, points: list, size: float) -> None:
    """Print the linear fit of (x, y) points, and its value at a size to design for."""
    fit = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    print_line(
        role=role,
        slope=metric,
        per_unit=fit.slope,
        at_zero=fit.intercept,
        at=size,
        derived=fit.intercept + fit.slope * size,
    )


class ControlProcess:
    """A single control replica in a process of its own, with its files on disk."""

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
        """Kill the process and remove its files."""
        self.process.kill()
        self.pool.close()
        self.context.term()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def get_traffic(self) -> TrafficReport:
        """Return the process's counters of traffic, CPU time and memory."""
        return await self.pool.get(self.address).call(ReportTraffic(), CALL_TIMEOUT_S)

    async def apply_new_sections(self, text: str) -> dict:
        """Apply the sections of a text, which must all be new; return the result."""
        sections = [
            SectionChange(name, 0, body) for name, body in split_sections(text).items()
        ]
        body = {"change_id": f"{time.time_ns()}", "sections": sections}
        call = OperatorCall("root", ROOT_KEY, "apply", msgspec.json.encode(body))
        answer = await self.client.call(call, CALL_TIMEOUT_S, CALL_TIMEOUT_S)
        return msgspec.json.decode(answer.body)


def make_target(index: int) -> TargetInfo:
    """Return the announcement of an engine."""
    name = f"engine-{index:04d}"
    return TargetInfo(name, "engine", f"pool-{index % 12}", "10.0.0.1:80", "dc", 1)


async def run_sessions(
    nodes: int, targets: int, has_changing_loads: bool
) -> dict[str, float]:
    """Measure one control replica under the sessions of many nodes."""
    control = ControlProcess()
    sessions = []
    try:
        await control.client.call(
            QuotaCall("x", []), CALL_TIMEOUT_S
        )  # Waits until the replica leads.
        for index in range(nodes):
            pool = RpcPool(control.context)
            client = ControlClient(pool, {"c1": control.address})
            node = NodeInfo(f"n{index}", 1, f"10.0.0.{index}:1", "10.0.0.1:2", "dc")
            session = Session(client, node, Metrics())
            await session.start()
            sessions.append(session)
            await asyncio.sleep(0.5 / nodes)
        announce_task = asyncio.create_task(
            announce_targets(sessions, targets, has_changing_loads)
        )
        # Each node's first, complete view is not part of the steady state.
        while any(len(s.view.targets.items) < targets for s in sessions):
            await asyncio.sleep(0.5)
        await asyncio.sleep(SETTLE_S)
        before = await control.get_traffic()
        started_s = time.monotonic()
        await asyncio.sleep(MEASUREMENT_S)
        after = await control.get_traffic()
        duration_s = time.monotonic() - started_s
        announce_task.cancel()
        received = after.received_bytes - before.received_bytes
        sent = after.sent_bytes - before.sent_bytes
        nodes_with_lease = sum(session.has_lease for session in sessions)
        return {
            "leader_cpu_share": (after.cpu_s - before.cpu_s) / duration_s,
            "node_bytes_per_s": (received + sent) / duration_s / nodes,
            "leader_messages_per_s": (after.sent_messages - before.sent_messages)
            / duration_s,
            "leader_rss_mb": after.rss_bytes / 1e6,
            "nodes_with_lease": nodes_with_lease,
        }
    finally:
        for session in sessions:
            await session.close()
            session.control_client.pool.close()
        control.close()


async def announce_targets(
    sessions: list[Session], targets: int, has_changing_loads: bool
) -> None:
    """Announce all targets at each interval, each time through another node."""
    sequence = 0
    while targets:
        sequence += 1
        for index in range(targets):
            session = sessions[(index + sequence) % len(sessions)]
            load = TargetLoad(
                f"engine-{index:04d}",
                1,
                sequence,
                running=(sequence + index) % 8 if has_changing_loads else 1,
                weight_version="v1",
            )
            session.record_announcement(make_target(index), load)
            if index % 50 == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(LOAD_REPORT_INTERVAL_S)


def measure_membership() -> None:
    """Measure the leader's CPU and each node's traffic, over nodes and over targets."""
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


def measure_configuration() -> None:
    """Measure memory and decoding time of a node's configuration over organisations."""
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
        configuration.apply_revision(1, sections)
        duration_s = time.perf_counter() - started_s
        used_bytes = get_rss_bytes() - before
        name, _ = configuration.authenticate(get_api_key(f"o{count - 1}"))
        assert name == f"o{count - 1}"
        memory.append((count, used_bytes / 1e6))
        print_line(
            role="configuration",
            organisations=count,
            node_rss_mb=used_bytes / 1e6,
            whole_document_mb=size / 1e6,
            take_s=duration_s,
        )
        del sections, configuration
    print_slope("configuration", "node_rss_mb", memory, ORGANISATIONS)


async def run_changes(organisations: int) -> dict[str, float]:
    """Measure changes that are committed in sequence to a document of some size."""
    control = ControlProcess()
    try:
        await control.apply_new_sections(
            make_document(replace(PARAFINA, organisations=0))
        )
        for start in range(0, organisations, 500):
            texts = [
                make_organisation_text(PARAFINA, f"o{index}")
                for index in range(start, min(organisations, start + 500))
            ]
            result = await control.apply_new_sections("\n".join(texts))
            assert not result["error_code"], result
        before = await control.get_traffic()
        durations_s = []
        for index in range(20):
            started_s = time.perf_counter()
            await control.apply_new_sections(
                make_organisation_text(PARAFINA, f"new{index}")
            )
            durations_s.append(time.perf_counter() - started_s)
        after = await control.get_traffic()
        return {
            "change_ms": statistics.median(durations_s) * 1000,
            "leader_cpu_ms_per_change": (after.cpu_s - before.cpu_s) / 20 * 1000,
            "leader_rss_mb": after.rss_bytes / 1e6,
        }
    finally:
        control.close()


def measure_changes() -> None:
    """Measure the time of a change over the size of the document."""
    points = []
    for organisations in (500, 2000, 6000):
        result = asyncio.run(run_changes(organisations))
        print_line(role="document", organisations=organisations, **result)
        points.append((organisations, result["change_ms"]))
    print_slope("document", "change_ms", points, ORGANISATIONS)


def make_piece(index: int) -> str:
    """Return the name of a piece."""
    return f"{index % 4096:08x}{index:032x}"


def measure_directory() -> None:
    """Measure memory and lookup time of a node's directory over pieces."""
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
        used_bytes = get_rss_bytes() - before
        started_s = time.perf_counter()
        for index in range(0, count, 10):
            directory.look_up(make_piece(index))
        lookup_us = (time.perf_counter() - started_s) / (count / 10) * 1e6
        memory.append((count, used_bytes / 1e6))
        print_line(
            role="directory",
            pieces=count,
            rss_mb=used_bytes / 1e6,
            bytes_per_piece=used_bytes / count,
            lookup_us=lookup_us,
        )
        del directory
    print_slope("directory", "rss_mb", memory, PIECES_PER_NODE)


async def run_claims(concurrency: int) -> dict[str, float]:
    """Measure the commits of claims and their outcomes by concurrent tasks."""
    control = ControlProcess()
    durations_s: list[float] = []
    deadline_s = time.monotonic() + MEASUREMENT_S

    async def commit_claims(number: int) -> None:
        count = 0
        answer = KeptAnswer(201, [("content-type", "application/json")], b"x" * 200)
        while time.monotonic() < deadline_s:
            count += 1
            key = f"{number}-{count}"
            started_s = time.perf_counter()
            await control.client.propose(
                Claim("org", key, "d" * 64, key, "n1", 1), CALL_TIMEOUT_S
            )
            durations_s.append(time.perf_counter() - started_s)
            await control.client.propose(
                SettleClaim("org", key, key, True, answer), CALL_TIMEOUT_S
            )

    try:
        await control.client.call(QuotaCall("x", []), CALL_TIMEOUT_S)
        before = await control.get_traffic()
        deadline_s = time.monotonic() + MEASUREMENT_S
        started_s = time.monotonic()
        await asyncio.gather(*(commit_claims(number) for number in range(concurrency)))
        duration_s = time.monotonic() - started_s
        after = await control.get_traffic()
        durations_s.sort()
        return {
            "claims_per_s": len(durations_s) / duration_s,
            "commit_p50_ms": durations_s[len(durations_s) // 2] * 1000,
            "commit_p95_ms": durations_s[int(len(durations_s) * 0.95)] * 1000,
            "leader_cpu_ms_per_claim": (after.cpu_s - before.cpu_s)
            / len(durations_s)
            * 1000,
            "bytes_per_claim": (after.rss_bytes - before.rss_bytes) / len(durations_s),
        }
    finally:
        control.close()


async def run_quota(rate: int) -> dict[str, float]:
    """Measure the cost of quota calls at a rate; entries send one for each request."""
    control = ControlProcess()
    try:
        await control.apply_new_sections(make_document(PARAFINA))
        before = await control.get_traffic()
        started_s = time.monotonic()
        pending = set()
        for number in range(int(rate * MEASUREMENT_S)):
            request = QuotaRequest(f"parafina-{number % 10}", 1.0)
            call = control.client.call(QuotaCall("n1", [request]), CALL_TIMEOUT_S)
            pending.add(asyncio.create_task(call))
            delay_s = started_s + number / rate - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            pending = {task for task in pending if not task.done()}
        await asyncio.gather(*pending)
        after = await control.get_traffic()
        duration_s = time.monotonic() - started_s
        return {"leader_cpu_share": (after.cpu_s - before.cpu_s) / duration_s}
    finally:
        control.close()


def measure_claims() -> None:
    """Measure the rate of claims over concurrency, and the cost of quota calls."""
    for concurrency in (1, 16, 64):
        result = asyncio.run(run_claims(concurrency))
        print_line(role="claims", concurrency=concurrency, **result)
    points = []
    for rate in (100, 300, 600):
        result = asyncio.run(run_quota(rate))
        print_line(role="limits", calls_per_s=rate, **result)
        points.append((rate, result["leader_cpu_share"]))
    print_slope("limits", "leader_cpu_share", points, REQUESTS_PER_S)


async def fill_log(control: ControlProcess, entries: int) -> None:
    """Commit a number of claims, 200 at a time."""
    numbers = iter(range(entries))

    async def commit_remaining() -> None:
        for number in numbers:
            key = str(number)
            command = Claim("org", key, "d" * 64, key, "n1", 1)
            await control.client.propose(command, CALL_TIMEOUT_S)

    await asyncio.gather(*(commit_remaining() for _ in range(200)))


def measure_recovery() -> None:
    """Measure the time from a replica's start to leadership, over the log's length."""
    points = []
    for entries in (2_000, 8_000, 20_000):
        control = ControlProcess()

        async def fill() -> None:
            await control.client.call(QuotaCall("x", []), CALL_TIMEOUT_S)
            await fill_log(control, entries)
            control.pool.close()

        async def time_first_call() -> float:
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
            ready_s = asyncio.run(time_first_call())
            points.append((entries, ready_s))
            print_line(role="log", entries=entries, read_s=load_s, ready_s=ready_s)
        finally:
            control.close()
    print_slope("log", "ready_s", points, 20_000)


def measure_processes() -> None:
    """Measure RSS, CPU and traffic of 12 entries and 5 control replicas.

    They are measured idle and under load.
    """
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
                start_traffic = before[name]
                sent = after.sent_bytes - start_traffic.sent_bytes
                received = after.received_bytes - start_traffic.received_bytes
                result[name] = {
                    "cpu_share": (after.cpu_s - start_traffic.cpu_s) / duration_s,
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
            request_count = len(load.history.records)
            result = await sample(MEASUREMENT_S)
            request_count = len(load.history.records) - request_count
            await load.stop()
            return result, request_count

        idle = asyncio.run(sample(MEASUREMENT_S))
        loaded, request_count = asyncio.run(sample_loaded())
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
        print_line(
            role="entry", state="loaded", requests_per_s=request_count / MEASUREMENT_S
        )


def measure_elections() -> None:
    """Measure the time without a committed write after a leader is killed.

    Five replicas run.
    """
    from harness.cluster import Cluster, ClusterOptions

    deployment = replace(
        PARAFINA, controls=5, entries=1, engines=0, services=0, stores=0
    )
    with Cluster(deployment, ClusterOptions(has_proxies=False)) as cluster:
        operator = cluster.operator
        write_gaps_s = []
        for number in range(ELECTION_COUNT):
            status = operator.call("status", {})
            leader = cluster.processes[status["leader"].partition("#")[0]]
            leader.kill()
            started_s = time.monotonic()
            text = make_organisation_text(PARAFINA, f"election-{number}")
            asyncio.run(operator.apply_with_retries(text))
            write_gaps_s.append(time.monotonic() - started_s)
            leader.start()
            # The killed replica catches up before the next leader is killed.
            time.sleep(SETTLE_S)
        print_line(
            role="log",
            elections=ELECTION_COUNT,
            write_gap_median_s=statistics.median(write_gaps_s),
            write_gap_worst_s=max(write_gaps_s),
        )


MEASUREMENTS: dict[str, Callable[[], None]] = {
    "membership": measure_membership,
    "configuration": measure_configuration,
    "changes": measure_changes,
    "directory": measure_directory,
    "claims": measure_claims,
    "recovery": measure_recovery,
    "elections": measure_elections,
    "processes": measure_processes,
}
"""Measurements by their names on the command line."""


def main() -> int:
    """Parse the command line and run the measurements that it selects, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("only", nargs="*", choices=[*MEASUREMENTS, []], default=[])
    arguments = parser.parse_args()
    configure_logging("capacity", "/dev/null")
    for name in arguments.only or MEASUREMENTS:
        MEASUREMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
