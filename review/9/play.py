"""A request that crashes engines is repeated while leaders of the core end."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from lab import CONTACT_S, CannotRunError, Engine, Lab, run  # noqa: E402

ENGINE_BACK_S = 2.0
"""Time from an engine's crash to its next start: "back after some seconds"."""

REPEAT_S = 3.5
"""Time between two requests of the caller."""

CALM_S = 4.5
"""Time after a node's restart before the caller asks again; `contact_ms` and some."""

MAX_RETRIES = 3
"""Retries that may reach engines after `contact_ms` from the third crash."""

SENDS_BETWEEN_KILLS = 2
KILLS = 2
MAX_SENDS = 12
REQUESTS_PER_S = 30
HOST = "nylo40.example"
DEADLY_PATH = "/pedido/deadly"
CONFIGURATION = {
    "routes": [
        {
            "name": "r-pedido",
            "host": HOST,
            "path_prefix": "/pedido/",
            "route_type": "non_idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "priority": 2,
            "service": "pedidos",
            "max_attempts": 1,
            "anonymous": True,
        }
    ],
    "services": [
        {"name": "pedidos", "health_path": "/healthz", "max_connections": 110}
    ],
}


async def send_traffic(lab: Lab) -> None:
    """Send other requests to all nodes in turn until cancelled."""
    number = 0
    while True:
        number += 1
        node = lab.nodes[number % len(lab.nodes)]
        if node.process.poll() is None:
            asyncio.create_task(
                lab.send(node, HOST, "POST", f"/pedido/{number:x}", kind="other")
            )
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_deadly(lab: Lab) -> int:
    """Send the request once, at any node; return the status of the answer."""
    node = lab.random.choice([n for n in lab.nodes if n.process.poll() is None])
    status, _, _ = await lab.send(
        node, HOST, "POST", DEADLY_PATH, body=b"the same order", kind="deadly"
    )
    await asyncio.sleep(REPEAT_S)
    return status


async def main() -> bool:
    """Play the case and return whether the rule held."""
    lab = Lab(HERE, node_count=6)
    try:
        lab.engines = [
            Engine(lab, n, service="pedidos", slots=6, deadly="deadly")
            for n in range(5)
        ]
        await lab.start(CONFIGURATION)
        for engine in lab.engines:
            lab.spawn(engine.keep_running(ENGINE_BACK_S))
        lab.spawn(send_traffic(lab))
        await asyncio.sleep(2.0)
        sends = kills = 0
        refused = 0
        while sends < MAX_SENDS and refused < 2:
            status = await send_deadly(lab)
            sends += 1
            refused += status == 503
            is_due = sends % SENDS_BETWEEN_KILLS == 0 and kills < KILLS
            if lab.is_trouble and is_due:
                kills += 1
                leader = lab.find_leader()
                leader.kill()
                await leader.restart_after()
                await asyncio.sleep(CALM_S)
        for task in lab.tasks:
            task.cancel()
        return judge(lab)
    finally:
        lab.close()


def judge(lab: Lab) -> bool:
    """Return whether at most three late retries have reached engines."""
    events = lab.record.read()
    deadly = {e["id"] for e in events if e["event"] == "sent" and e["kind"] == "deadly"}
    sent_s = {e["id"]: e["t"] for e in events if e["event"] == "sent"}
    crashes = [e for e in events if e["event"] == "crashed"]
    if len(crashes) < 3:
        raise CannotRunError("fewer than three crashes")
    disturbed = [e["t"] for e in events if e["event"] in ("node_signal", "node_start")]
    third_s = crashes[2]["t"]
    late = set()
    for e in events:
        if e["event"] != "arrived" or e["id"] not in deadly:
            continue
        at_s = sent_s[e["id"]]
        is_calm = all(not at_s - CONTACT_S <= t <= at_s for t in disturbed)
        if at_s > third_s + CONTACT_S and is_calm:
            late.add(e["id"])
    print(f"crashes: {len(crashes)}; times the request was sent: {len(deadly)}")
    print(f"retries that reached engines {CONTACT_S:g} s after the third: {len(late)}")
    return len(late) <= MAX_RETRIES


run(main)
