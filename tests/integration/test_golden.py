"""Golden files of whole sessions, as caller, operator and target saw them.

Only identifiers, times, ports and sizes that depend on them are normalised.
`make golden` rewrites the files for review.
"""

from __future__ import annotations

import asyncio
import os
import re
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec

from harness.caller import Caller
from harness.cluster import Cluster, Options
from harness.deployment import PARAFINA, ROOT_KEY, get_api_key, make_document
from harness.process import ROOT
from laburnumpitch.timeline import format_details, parse_line
from laburnumpitch.transport.http_client import HttpClient

from .cluster_case import ClusterCase, make_history

GOLDEN = Path(__file__).parent / "golden"
SMALL = replace(
    PARAFINA, controls=1, entries=2, engines=1, services=1, stores=1, organisations=2
)
PATTERNS = (
    (re.compile(r"[0-9a-f]{32,64}"), "HEX"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"/tmp/\S+/"), "FOLDER/"),
    (re.compile(r'"created":\d+'), '"created":TIME'),
    (re.compile(r"\b(ms|predicted_ms|time_s|hlc|term|order|attempt)=[\d.]+"), r"\1=N"),
    (re.compile(r"\bcommit_index=\d+|incarnation=\d+|sequence=\d+"), "COUNT"),
    (re.compile(r"date: .*"), "date: TIME"),
)
SHOWN_EVENTS = (
    "dispatched",
    "first_token",
    "completed",
    "answer_replayed",
    "refused",
    "failed",
    "revision_in_force",
    "stop_requested",
    "drain_started",
    "drain_ended",
    "load_ordered",
    "load_ended",
)


def normalise(text: str) -> str:
    """Return a text without what differs between runs."""
    for pattern, replacement in PATTERNS:
        text = pattern.sub(replacement, text)
    return text


class Session:
    """Records one session.

    Args:
        case: The test.
        cluster: The cluster.
    """

    def __init__(self, case: ClusterCase, cluster: Cluster) -> None:
        self.case = case
        self.cluster = cluster
        self.lines: list[str] = []
        self.offsets = {path: len(path.read_text()) for path in cluster.get_log_files()}

    def note(self, text: str) -> None:
        """Record a line."""
        self.lines.append(text)

    async def send(self, entry: str, path: str, body: dict, **headers: str) -> None:
        """Send a caller's request and record the exchange."""
        key = get_api_key("parafina-0")
        sent = [("authorization", f"Bearer {key}"), *headers.items()]
        sent.append(("content-type", "application/json"))
        client = HttpClient(self.cluster.http_addresses[entry])
        answer = await client.request(
            "POST", path, sent, msgspec.json.encode(body), first_byte_timeout_s=30.0
        )
        content = (await answer.read()).decode()
        client.close()
        shown = dict(body)
        if "prompt" in shown:
            shown["prompt"] = f"… {shown['prompt'][-16:]}"
        self.note(f"> POST {path} at {entry} {msgspec.json.encode(shown).decode()}")
        for name, value in headers.items():
            self.note(f"> {name}: {value}")
        self.note(f"< {answer.status}")
        for name, value in answer.headers:
            if name not in ("content-length", "transfer-encoding"):
                self.note(f"< {name}: {value}")
        for line in content.splitlines():
            if line:
                self.note(f"< {line}")

    def run_command(self, *arguments: str) -> None:
        """Run an operator's command and record it."""
        command = [sys.executable, "-m", "laburnumpitch", *arguments]
        settings = {
            "LABURNUMPITCH_ENTRY": self.cluster.http_addresses["e1"],
            "LABURNUMPITCH_OPERATOR_KEY": ROOT_KEY,
        }
        done = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, **settings},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=60,
        )
        self.note(f"$ laburnumpitch {' '.join(arguments)}")
        for line in done.stdout.splitlines():
            self.note(line)
        self.note(f"exit code {done.returncode}")

    def note_events(self, *names: str) -> None:
        """Record what some processes logged during the session."""
        for name in names:
            path = self.cluster.folder / f"{name}.log"
            text = path.read_text()[self.offsets.get(path, 0) :]
            for event in filter(None, map(parse_line, text.splitlines())):
                if event.name in SHOWN_EVENTS:
                    self.note(f"{name}: {event.name} {format_details(event)}")

    def check(self, name: str) -> None:
        """Compare with the golden file, or rewrite it."""
        text = normalise("\n".join(self.lines)) + "\n"
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("LABURNUMPITCH_GOLDEN") == "rewrite":
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
        self.case.assertEqual(path.read_text(), text)


class GoldenTest(ClusterCase):
    """Six sessions on one small deployment."""

    deployment = SMALL

    def test_sessions(self) -> None:
        """Every session is as its golden file."""
        cluster = self.start_cluster(Options(has_proxies=False, event_gap_share=0.0))
        self.check_questions(cluster)
        self.check_order(cluster)
        self.check_conflict(cluster)
        self.check_planned_stop(cluster)
        self.check_rollout(cluster)

    def check_questions(self, cluster: Cluster) -> None:
        """A cold question, and a returning one through another entry."""
        history = make_history("golden", 1024)
        for name, entry, question in (
            ("cold_question", "e1", "Is it open?"),
            ("returning_question", "e2", "Which gate?"),
        ):
            session = Session(self, cluster)
            body = {
                "model": "route-judge",
                "prompt": history + question,
                "max_tokens": 3,
                "stream": True,
            }
            self.run_async(session.send(entry, "/v1/completions", body))
            session.note_events(entry)
            session.check(name)
            # The engine's events reach the directory.
            self.run_async(asyncio.sleep(1.0))

    def check_order(self, cluster: Cluster) -> None:
        """An order, resent through another entry, and refused without a key."""
        session = Session(self, cluster)
        headers = {"idempotency-key": "golden-order"}
        body = {"item": "lamp-oil"}
        for entry in ("e1", "e2"):
            work = session.send(entry, "/services/orders/orders", body, **headers)
            self.run_async(work)
        self.run_async(session.send("e1", "/services/orders/orders", body))
        session.note_events("e1", "e2")
        journal = (cluster.folder / "service1.journal").read_text().splitlines()
        for line in journal:
            session.note(f"service1: ran {line}")
        session.check("order_resent")

    def check_conflict(self, cluster: Cluster) -> None:
        """Two operators change one section under equal numbers."""
        session = Session(self, cluster)
        text = '# base: pools.spare 0\n[pools.spare]\nowner = "{}"\nkind = "engine"\n'
        for owner in ("north", "south"):
            path = cluster.folder / f"{owner}.toml"
            path.write_text(text.format(owner))
            session.run_command("config", "apply", "--wait", str(path))
        session.run_command("config", "history", "--since", "1")
        session.note_events("e1")
        session.check("operators_conflict")

    def check_planned_stop(self, cluster: Cluster) -> None:
        """An entry is stopped while a stream runs."""
        session = Session(self, cluster)

        async def scenario() -> None:
            body = {"model": "route-judge", "prompt": "short", "max_tokens": 150}
            sending = asyncio.create_task(session.send("e2", "/v1/completions", body))
            log = cluster.folder / "e2.log"
            offset = session.offsets[log]
            while "event=dispatched" not in log.read_text()[offset:]:
                await asyncio.sleep(0.002)
            cluster.processes["e2"].signal(signal.SIGTERM)
            await sending

        self.run_async(scenario())
        session.note(f"exit code {cluster.processes['e2'].wait_exit()}")
        session.note_events("e2")
        # Whether the first token came before the signal is not part of it.
        session.lines = [line for line in session.lines if "first_token" not in line]
        session.check("planned_stop")
        cluster.processes["e2"].start()
        cluster.wait_ready()

    def check_rollout(self, cluster: Cluster) -> None:
        """A new weight version, from the operator's file to the engine."""
        session = Session(self, cluster)
        path = cluster.folder / "rollout.toml"
        path.write_text(make_document(self.deployment, "v2"))
        session.run_command("config", "diff", str(path))
        session.run_command("config", "apply", "--wait", str(path))
        self.wait_version(cluster, "v2")
        session.run_command("rollout", "pause", "engines")
        session.note_events("c1")
        session.check("rollout")
        caller = Caller(self.deployment, "parafina-0")
        answer = self.run_async(caller.ask(cluster.http_addresses["e1"], "new?", 3))
        self.assertEqual(caller.get_expected("new?", 3, "v2"), answer.text)
