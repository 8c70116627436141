"""A node that was frozen while it relayed streams never does anything again."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from lab import Engine, Lab, Node, now_s, run  # noqa: E402

FREEZE_S = 4.0
"""Length of the freeze, as in the site file."""

BACK_S = 4.0
"""Time after the freeze in which the node should answer a readiness check."""

WATCH_S = 16.0
"""Further time for a node that doesn't; with `BACK_S`, longer than `recover_s`."""

CALM_S = 4.0
ROUNDS = 8
"""Freezes, of one machine of the core after the other."""

STREAMS_PER_S = 1
BUSY_STREAMS_PER_S = 16
"""Streams at the node that is frozen next; the shares of nodes are uneven."""

DEADLINE_MS = 12000
EVENTS = 620
EVENT_BYTES = 280
EVENT_S = 0.006
HOST = "nylo40.example"
MODEL = "daka510000"
CONFIGURATION = {
    "routes": [
        {
            "name": "r-consulta",
            "host": HOST,
            "path_prefix": "/consulta/",
            "route_type": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 300,
            "priority": 0,
            "service": "lenguaje",
            "max_attempts": 1,
            "anonymous": True,
            "sticky": True,
            "resumable": False,
            "gap_target_ms": 300,
        }
    ],
    "services": [
        {
            "name": "lenguaje",
            "max_connections": 630,
            "engine": {
                "slots": 128,
                "kv_capacity": 81253,
                "kv_bytes": 18432,
                "link_mbps": 88000.0,
                "models": [{"name": MODEL}],
            },
        }
    ],
}


async def send_streams(lab: Lab, node: Node, busy: list[Node]) -> None:
    """Ask questions at a node until cancelled, more if it is the busy one."""
    number = 0
    while True:
        number += 1
        headers = {
            "Model": MODEL,
            "Token-Usage": f"827,{EVENTS}",
            "Prefix-Hash": (
                f"a{number % 20:03x}:119,b{number:06x}:531,c{number:06x}:177"
            ),
        }
        path = f"/consulta/{number:x}"
        asyncio.create_task(
            lab.send(node, HOST, "POST", path, headers, b"question", DEADLINE_MS)
        )
        await asyncio.sleep(1 / (BUSY_STREAMS_PER_S if node in busy else STREAMS_PER_S))


def get_processor_s(node: Node) -> float:
    """Return the processor time that the node's process has used."""
    text = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = text.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def is_back(lab: Lab, node: Node, seconds: float) -> bool:
    """Return whether a node answers a readiness check within some time."""
    end_s = now_s() + seconds
    while now_s() < end_s:
        is_ready = await node.is_ready()
        lab.record.write("readiness", node=node.name, ready=is_ready)
        if is_ready:
            return True
        await asyncio.sleep(0.5)
    return False


async def disturb(lab: Lab, node: Node) -> bool:
    """Freeze a node; return whether it comes back."""
    if lab.is_trouble:
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        node.signal(signal.SIGCONT)
    thawed_s, used_s = now_s(), get_processor_s(node)
    if await is_back(lab, node, BACK_S):
        print(f"{node.name} is back")
        return True
    has_come_back = await is_back(lab, node, WATCH_S)
    share = (get_processor_s(node) - used_s) / (now_s() - thawed_s)
    print(f"{node.name} was not ready for {BACK_S:g} s, ready after: {has_come_back}")
    print(f"  it has used {share:.2f} of a core for {now_s() - thawed_s:.1f} s")
    return has_come_back


async def main() -> bool:
    """Play the case and return whether the rule held."""
    lab = Lab(HERE, node_count=6)
    try:
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        lab.engines = [
            Engine(
                lab,
                n,
                "stream_engine.py",
                service="lenguaje",
                slots=128,
                events=EVENTS,
                event_bytes=EVENT_BYTES,
                event_s=EVENT_S,
                beat={"phase": "unified", "models": models},
            )
            for n in range(5)
        ]
        await lab.start(CONFIGURATION)
        busy: list[Node] = []
        for node in lab.nodes:
            lab.spawn(send_streams(lab, node, busy))
        has_held = True
        core = [node for node in lab.nodes if node.has_disk]
        for number in range(ROUNDS):
            node = core[number % len(core)]
            busy[:] = [node]
            await asyncio.sleep(CALM_S)
            has_held = await disturb(lab, node)
            if not has_held:
                break
        for task in lab.tasks:
            task.cancel()
        return has_held
    finally:
        lab.close()


run(main)
