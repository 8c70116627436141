"""A configuration makes a tenant isolated, whose context is in an engine's memory."""

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
    CouldNotRunError,
    Fleet,
    Record,
    is_disrupted,
    run_case,
)

MODEL = "m0"
APPLY_S = BOUNDS["config_apply_ms"] / 1000
PREFIX = "5c1e07a2:800,91bd3f06:410,{own}:250"
KEYS = {"bozi300": "key-of-bozi300", "dehu792": "key-of-dehu792"}


def make_llm_configuration(version: int, isolated: frozenset[str]) -> dict:
    """Return a configuration with one streaming route to a pool of engines."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-ask",
                "host": "ask.example",
                "path_prefix": "/ask/",
                "route_type": "streaming",
                "timeout_ms": 4000,
                "target_latency_ms": 400,
                "priority": 1,
                "service": "lenguaje",
                "max_attempts": 2,
                "anonymous": False,
                "sticky": True,
                "resumable": False,
                "gap_target_ms": 300,
            }
        ],
        "services": [
            {
                "name": "lenguaje",
                "health_path": "/healthz",
                "max_connections": 630,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 128,
                    "kv_capacity": 81253,
                    "kv_bytes": 18432,
                    "link_mbps": 88000.0,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": [key], "isolated": name in isolated}
            for name, key in KEYS.items()
        ],
    }


def ask(fleet: Fleet, record: Record, engine: Engine, tenant: str, attempt: str):
    """Send a tenant's request until it has run, and return the run."""
    for number in range(40):
        name = f"{attempt}-{number}"
        headers = {
            "Host": "ask.example",
            "Authorization": f"Bearer {KEYS[tenant]}",
            "Model": MODEL,
            "Token-Usage": "1460,3",
            "Prefix-Hash": PREFIX.format(own=f"e44{number:02x}{len(attempt):02x}"),
            "Deadline-Ms": "4000",
        }
        status = send_request(fleet, record, fleet.nodes[0], name, "/ask/1", headers)
        run = engine.find_run(name)
        if status == 200 and run is not None:
            return run
        time.sleep(0.25)
    raise CouldNotRunError(f"no request of {tenant} was served")


def run(record: Record) -> bool:
    """Return whether a rule was broken."""
    fleet = Fleet(record, disk_nodes=3, other_nodes=1, bounds=BOUNDS)
    engine = Engine(fleet, record, "lenguaje", MODEL)
    try:
        for node in fleet.nodes:
            fleet.start(node, is_bootstrap=True)
        engine.start()
        # Without the change, the tenant is isolated from the first version on.
        isolated = frozenset(["bozi300"])
        before = frozenset() if is_disrupted() else isolated
        first = make_llm_configuration(1, before)
        fleet.put_until_acknowledged(fleet.nodes, first, START_TIMEOUT_S)
        ask(fleet, record, engine, "bozi300", "first-of-bozi300")

        second = make_llm_configuration(2, isolated)
        fleet.put_until_acknowledged(fleet.nodes, second, START_TIMEOUT_S)
        time.sleep(2 * APPLY_S)
        record.write("configuration 2 is in force everywhere: bozi300 is isolated")
        later = ask(fleet, record, engine, "dehu792", "request-of-dehu792")
        is_broken = any(maker != later.tenant for _, maker in later.used)
        if is_broken:
            record.write("dehu792 used KV cache that a request of bozi300 made")
        return is_broken
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(FOLDER, run)
