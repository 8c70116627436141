"""An engine runs an order and its answer is lost, on a route marked resumable."""

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

ORDERS = 60

LOSES_EACH = 5
"""One engine loses the answer of each fifth request that it ran (`x` = 0.2)."""


def run(record: Record) -> bool:
    """Return whether a rule was broken."""
    fleet = Fleet(record, disk_nodes=3, other_nodes=1, bounds=BOUNDS)
    engines = [Engine(fleet, record, "pedidos", name=name) for name in "abcd"]
    try:
        for node in fleet.nodes:
            fleet.start(node, is_bootstrap=True)
        for engine in engines:
            engine.start()
        configuration = make_configuration(1)
        configuration["routes"][0] |= {"resumable": True, "max_attempts": 2}
        fleet.put_until_acknowledged(fleet.nodes, configuration, START_TIMEOUT_S)
        time.sleep(BOUNDS["contact_ms"] / 1000)
        engines[0].loses_each = LOSES_EACH if is_disrupted() else 0
        headers = {"Host": "orders.example", "Deadline-Ms": "4000"}
        runs: dict[str, int] = {}
        for number in range(ORDERS):
            attempt = f"order-{number}"
            node = fleet.nodes[number % len(fleet.nodes)]
            send_request(fleet, record, node, attempt, "/orders/1", headers)
            runs[attempt] = sum(
                run.attempt == attempt for engine in engines for run in engine.runs
            )
        doubled = [attempt for attempt, count in runs.items() if count > 1]
        record.write(f"orders that ran more than once: {doubled or 'none'}")
        return bool(doubled)
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(FOLDER, run)
