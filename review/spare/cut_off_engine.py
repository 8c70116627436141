"""An engine can't reach the machines for 34 s, and then announces itself again."""

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

CUT_S = 34.0
REQUESTS = 50
"""Requests after the cut, one a second."""

SERVED_SHARE = 0.25


def run(record: Record) -> bool:
    """Return whether less than a quarter of the requests after the cut was served."""
    fleet = Fleet(record, disk_nodes=3, other_nodes=1, bounds=BOUNDS)
    engine = Engine(fleet, record, "pedidos")
    try:
        for node in fleet.nodes:
            fleet.start(node, is_bootstrap=True)
        engine.start()
        fleet.put_until_acknowledged(
            fleet.nodes, make_configuration(1), START_TIMEOUT_S
        )
        time.sleep(BOUNDS["contact_ms"] / 1000)
        if is_disrupted():
            incarnation, engine.incarnation = engine.incarnation, 0
            record.write("heartbeats stop")
            time.sleep(CUT_S)
            engine.incarnation = incarnation
            threading.Thread(
                target=engine.run_heartbeats, args=(incarnation,), daemon=True
            ).start()
            record.write("heartbeats of the same incarnation arrive again")
        time.sleep(BOUNDS["contact_ms"] / 1000)
        served = 0
        for number in range(REQUESTS):
            status = send_request(
                fleet,
                record,
                fleet.nodes[number % len(fleet.nodes)],
                f"order-{number}",
                "/orders/1",
                {"Host": "orders.example", "Deadline-Ms": "2000"},
            )
            served += status == 200
            time.sleep(1.0)
        record.write(f"served {served} of {REQUESTS}")
        return served < SERVED_SHARE * REQUESTS
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(FOLDER, run)
