"""Engines crash for reasons of their own while they run an ordinary request."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from engine import Engine, send_request  # noqa: E402
from fleet import (  # noqa: E402
    BOUNDS,
    START_TIMEOUT_S,
    Fleet,
    Record,
    is_disrupted,
    make_configuration,
    run_case,
)

WORK_S = 0.09
"""Time for which a request runs (`work ms` of our sheet)."""

CRASHES = 3
CRASH_INTERVAL_S = 2.5
DOWN_S = 1.0
"""Time for which a crashed engine is down."""

TRAFFIC_S = 85.0
"""Time for which requests are sent."""

INTERVALS_S = {"order": 0.2, "status": 0.5}
"""Interval of each kind of request, in about the proportion of our sheet."""

STARVED_SHARE = 0.25
"""A kind of request that is served less often than this share of all is starved."""


def make_route_configuration() -> dict:
    """Return a configuration with a route for orders and one for their status."""
    configuration = make_configuration(1)
    orders = configuration["routes"][0]
    orders["anonymous"] = False
    status = orders | {
        "name": "r-status",
        "path_prefix": "/status/",
        "route_type": "idempotent",
        "max_attempts": 2,
        "priority": 2,
    }
    configuration["routes"].append(status)
    configuration["tenants"] = [{"name": "bozi300", "api_keys": ["key-1"]}]
    return configuration


class Traffic:
    """Sends the two kinds of requests in turn, and counts those that were served."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self.sent = {"order": 0, "status": 0}
        self.served = {"order": 0, "status": 0}
        self.lock = threading.Lock()

    def send(self, kind: str) -> None:
        """Send one request to the next machine."""
        with self.lock:
            self.sent[kind] += 1
            number = self.sent[kind]
        node = self.fleet.nodes[number % len(self.fleet.nodes)]
        method, path = (
            ("POST", f"/orders/{number}") if kind == "order" else ("GET", "/status/42")
        )
        headers = {
            "Host": "orders.example",
            "Authorization": "Bearer key-1",
            "Deadline-Ms": "4000",
        }
        status = send_request(
            self.fleet,
            self.record,
            node,
            f"{kind}-{number}",
            path,
            headers,
            method=method,
        )
        if status == 200:
            with self.lock:
                self.served[kind] += 1

    def run(self, kind: str, duration_s: float) -> None:
        """Send requests of one kind at intervals, and wait for the last ones."""
        threads = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            thread = threading.Thread(target=self.send, args=(kind,), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(INTERVALS_S[kind])
        for thread in threads:
            thread.join(6)


def crash_one(engines: list[Engine], record: Record) -> None:
    """Crash the engine that runs a status request next, and start it again."""
    known = [len(engine.runs) for engine in engines]
    deadline_s = time.monotonic() + CRASH_INTERVAL_S
    while time.monotonic() < deadline_s:
        for engine, count in zip(engines, known, strict=True):
            runs = engine.runs[count:]
            now_s = time.monotonic()
            if any(
                run.attempt.startswith("status") and now_s - run.at_s < WORK_S / 2
                for run in runs
            ):
                engine.crash()
                time.sleep(DOWN_S)
                engine.start()
                return
        time.sleep(0.005)


def run(record: Record) -> bool:
    """Return whether a rule was broken."""
    fleet = Fleet(record, disk_nodes=3, other_nodes=1, bounds=BOUNDS)
    engines = [
        Engine(fleet, record, "pedidos", name=name, work_s=WORK_S) for name in "abcd"
    ]
    try:
        for node in fleet.nodes:
            fleet.start(node, is_bootstrap=True)
        for engine in engines:
            engine.start()
        fleet.put_until_acknowledged(
            fleet.nodes, make_route_configuration(), START_TIMEOUT_S
        )
        time.sleep(BOUNDS["contact_ms"] / 1000)
        traffic = Traffic(fleet, record)
        senders = [
            threading.Thread(target=traffic.run, args=(kind, TRAFFIC_S))
            for kind in INTERVALS_S
        ]
        for sender in senders:
            sender.start()
        if is_disrupted():
            for _ in range(CRASHES):
                time.sleep(CRASH_INTERVAL_S)
                crash_one(engines, record)
        for sender in senders:
            sender.join()
        for node in fleet.nodes:
            for line in node.read_output().splitlines():
                if "request_quarantined" in line:
                    record.write(f"log of {node.name}: {line}")
        shares = {k: traffic.served[k] / traffic.sent[k] for k in traffic.sent}
        share_of_all = sum(traffic.served.values()) / sum(traffic.sent.values())
        record.write(
            f"sent {traffic.sent}, served {traffic.served}, "
            f"of all {share_of_all:.3f}, of status {shares['status']:.3f}"
        )
        return shares["status"] < STARVED_SHARE * share_of_all
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(FOLDER, run)
