"""One heartbeat of another writer, with a service that isn't named."""

from __future__ import annotations

import sys
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

REQUESTS = 60
"""Requests on each of the two routes, one a second."""

STEADY_SHARE = 0.25
"""Requests on a route that was added later are served less often than this share."""


def run(record: Record) -> bool:
    """Return whether a rule was broken."""
    fleet = Fleet(record, disk_nodes=3, other_nodes=1, bounds=BOUNDS)
    first = Engine(fleet, record, "pedidos", name="a")
    second = Engine(fleet, record, "pedidos-2", name="b")
    try:
        for node in fleet.nodes:
            fleet.start(node, is_bootstrap=True)
        first.start()
        second.start()
        configuration = make_configuration(1)
        fleet.put_until_acknowledged(fleet.nodes, configuration, START_TIMEOUT_S)
        later = make_configuration(2)
        later["routes"].append(
            later["routes"][0]
            | {"name": "r-later", "path_prefix": "/later/", "service": "pedidos-2"}
        )
        fleet.put_until_acknowledged(fleet.nodes, later, START_TIMEOUT_S)
        time.sleep(BOUNDS["contact_ms"] / 1000)
        if is_disrupted():
            beat = {
                "service": "no-such-service",
                "address": f"{second.host}:{second.port}",
                "zone": "temuco",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_remaining_ms": 0,
                "models": [],
                "sequence": 1,
                "born": int(time.time() * 1000),
            }
            path = "/-/instances/i-other-writer"
            status = fleet.call(fleet.nodes[0], "PUT", path, beat)[0]
            record.write(f"another writer: PUT {path}: {status}, {beat}")
        served = {"orders": 0, "later": 0}
        for number in range(REQUESTS):
            for route in served:
                status = send_request(
                    fleet,
                    record,
                    fleet.nodes[number % len(fleet.nodes)],
                    f"{route}-{number}",
                    f"/{route}/1",
                    {"Host": "orders.example", "Deadline-Ms": "2000"},
                )
                served[route] += status == 200
            time.sleep(1.0)
        record.write(f"served of {REQUESTS} on each route: {served}")
        return served["later"] < STEADY_SHARE * served["orders"]
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(FOLDER, run)
