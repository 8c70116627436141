"""An engine's departure is acknowledged, and goes on to get requests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from lab import CONTACT_S, DRAIN_S, Engine, Lab, now_s, run  # noqa: E402

REQUESTS_PER_S = 80
CUT_S = 5.0
"""Time for which the engine is cut off from control: `for_s` of `srv_cut`."""

KILL_AFTER_S = 0.5
"""Time from the beginning of the cut to the end of the leader's process."""

LINGER_S = 5.0
"""Time after `drain_ms` for which the engine still serves: "at times many seconds"."""

HOST = "nylo40.example"
CONFIGURATION = {
    "routes": [
        {
            "name": "r-estado",
            "host": HOST,
            "path_prefix": "/estado/",
            "route_type": "idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "priority": 2,
            "service": "pedidos",
            "max_attempts": 2,
            "anonymous": True,
        }
    ],
    "services": [
        {"name": "pedidos", "health_path": "/healthz", "max_connections": 110}
    ],
}


async def send_traffic(lab: Lab) -> None:
    """Send requests to all nodes in turn until cancelled."""
    number = 0
    while True:
        number += 1
        node = lab.nodes[number % len(lab.nodes)]
        if node.process.poll() is None:
            asyncio.create_task(
                lab.send(node, HOST, "GET", f"/estado/{number:x}", kind="estado")
            )
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def main() -> bool:
    """Play the case and return whether the rule held."""
    lab = Lab(HERE, node_count=6)
    try:
        lab.engines = [Engine(lab, n, service="pedidos", slots=6) for n in range(5)]
        await lab.start(CONFIGURATION)
        lab.spawn(send_traffic(lab))
        await asyncio.sleep(4.0)
        leaving = lab.engines[4]
        begun_s = now_s()
        if lab.is_trouble:
            leaving.tell(mute=CUT_S)
            await asyncio.sleep(KILL_AFTER_S)
            leader = lab.find_leader()
            leader.kill()
            await leader.restart_after()
        await asyncio.sleep(max(0.0, begun_s + CUT_S + 0.05 - now_s()))
        leaving.tell(depart=DRAIN_S + LINGER_S)
        await asyncio.sleep(DRAIN_S + LINGER_S + 1.5)
        for task in lab.tasks:
            task.cancel()
        return judge(lab, leaving.instance_id)
    finally:
        lab.close()


def judge(lab: Lab, engine: str) -> bool:
    """Return whether no request reached the engine after `drain_ms`."""
    events = lab.record.read()
    acks = [e for e in events if e["event"] == "departure_acknowledged"]
    disturbed = [e["t"] for e in events if e["event"].startswith("node_")]
    acked_s = acks[0]["t"]
    late = [
        e
        for e in events
        if e["event"] == "arrived"
        and e["engine"] == engine
        and e["t"] > acked_s + DRAIN_S
    ]
    print(f"last start or signal of a node: {acked_s - max(disturbed):.2f} s before")
    print(f"  (in touch from {CONTACT_S:g} s on)")
    print(f"requests that reached the engine over {DRAIN_S:g} s later: {len(late)}")
    if late:
        last_s = late[-1]["t"] - acked_s
        print(f"  the last one {last_s:.2f} s after the acknowledgement")
    return not late


run(main)
