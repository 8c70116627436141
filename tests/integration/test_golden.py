"""Compares complete sessions of callers, operators and targets with golden files.

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
from harness.cluster import Cluster, ClusterOptions
from harness.deployment import PARAFINA, ROOT_KEY, get_api_key, make_document
from harness.process import ROOT, wait_for
from laburnumpitch.timeline import format_details, parse_line
from laburnumpitch.transport.http_client import HttpClient

from .cluster_case import ClusterCase, make_prompt_text

GOLDEN_FOLDER = Path(__file__).parent / "golden"
SMALL_DEPLOYMENT = replace(
    PARAFINA, controls=1, entries=2, engines=1, services=1, stores=1, organisations=2
)
NORMALISED_PATTERNS = (
    (re.compile(r"[0-9a-f]{32,64}"), "HEX"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"/tmp/\S+/"), "FOLDER/"),
    (re.compile(r'"created":\d+'), '"created":TIME'),
    (re.compile(r"\b(ms|predicted_ms|time_s|hlc|term|order|attempt)=[\d.]+"), r"\1=N"),
    (re.compile(r"\bcommit_index=\d+|incarnation=\d+|sequence=\d+"), "COUNT"),
    (re.compile(r"date: .*"), "date: TIME"),
)
"""What differs between runs, and what replaces it."""

LOAD_END_TIMEOUT_S = 60.0
"""Time for the controller to notice that an engine has loaded its weights."""

HISTORY_TOKENS = 1024
ALL_PIECES_REUSED = " reused=4 "
"""Part of the line of a dispatched question that reuses the whole history."""

MAX_QUESTIONS = 60
QUESTION_INTERVAL_S = 0.5

RECORDED_EVENTS = (
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
    """Replace the parts of a text that differ between runs."""
    for pattern, replacement in NORMALISED_PATTERNS:
        text = pattern.sub(replacement, text)
    return text


class SessionRecorder:
    """Records the exchanges, commands and events of one session.

    Args:
        case: The test.
        cluster: The cluster.
    """

    def __init__(self, case: ClusterCase, cluster: Cluster) -> None:
        self.case = case
        self.cluster = cluster
        self.lines: list[str] = []
        self.offsets = {path: len(path.read_text()) for path in cluster.get_log_files()}

    def record(self, text: str) -> None:
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
        recorded_body = dict(body)
        if "prompt" in recorded_body:
            recorded_body["prompt"] = f"… {recorded_body['prompt'][-16:]}"
        self.record(
            f"> POST {path} at {entry} {msgspec.json.encode(recorded_body).decode()}"
        )
        for name, value in headers.items():
            self.record(f"> {name}: {value}")
        self.record(f"< {answer.status}")
        for name, value in answer.headers:
            if name not in ("content-length", "transfer-encoding"):
                self.record(f"< {name}: {value}")
        for line in content.splitlines():
            if line:
                self.record(f"< {line}")

    def run_command(self, *arguments: str) -> None:
        """Run an operator's command and record it."""
        command = [sys.executable, "-m", "laburnumpitch", *arguments]
        settings = {
            "LABURNUMPITCH_ENTRY": self.cluster.http_addresses["e1"],
            "LABURNUMPITCH_OPERATOR_KEY": ROOT_KEY,
        }
        result = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, **settings},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=60,
        )
        self.record(f"$ laburnumpitch {' '.join(arguments)}")
        for line in result.stdout.splitlines():
            self.record(line)
        self.record(f"exit code {result.returncode}")

    def record_events(self, *names: str) -> None:
        """Record the selected events that some processes logged in the session."""
        for name in names:
            path = self.cluster.folder / f"{name}.log"
            text = path.read_text()[self.offsets.get(path, 0) :]
            for event in filter(None, map(parse_line, text.splitlines())):
                if event.name in RECORDED_EVENTS:
                    self.record(f"{name}: {event.name} {format_details(event)}")

    def compare_with_golden(self, name: str) -> None:
        """Compare the session with its golden file, or rewrite the file."""
        text = normalise("\n".join(self.lines)) + "\n"
        path = GOLDEN_FOLDER / f"{name}.txt"
        if os.environ.get("LABURNUMPITCH_GOLDEN") == "rewrite":
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
        self.case.assertEqual(path.read_text(), text)


class GoldenTest(ClusterCase):
    """Six sessions on one small deployment."""

    deployment = SMALL_DEPLOYMENT

    def test_sessions(self) -> None:
        """Every session equals its golden file."""
        cluster = self.start_cluster(
            ClusterOptions(has_proxies=False, event_gap_share=0.0)
        )
        self.check_questions(cluster)
        self.check_order(cluster)
        self.check_conflict(cluster)
        self.check_planned_stop(cluster)
        self.check_rollout(cluster)

    def check_questions(self, cluster: Cluster) -> None:
        """A question without kept context, and one with it through another entry."""
        for name, entry, question in (
            ("cold_question", "e1", "Is it open?"),
            ("returning_question", "e2", "Which gate?"),
        ):
            recorder = self.ask(cluster, entry, question)
            recorder.compare_with_golden(name)
            self.wait_until_located(cluster)

    def ask(self, cluster: Cluster, entry: str, question: str) -> SessionRecorder:
        """Ask a question on the history at an entry, and return what was recorded."""
        recorder = SessionRecorder(self, cluster)
        body = {
            "model": "route-judge",
            "prompt": make_prompt_text("golden", HISTORY_TOKENS) + question,
            "max_tokens": 3,
            "stream": True,
        }
        self.run_async(recorder.send(entry, "/v1/completions", body))
        recorder.record_events(entry)
        return recorder

    def wait_until_located(self, cluster: Cluster) -> None:
        """Wait until the directory has all of the history's pieces.

        It learns of them by the engine's events, which come late under load.
        """
        for _ in range(MAX_QUESTIONS):
            recorder = self.ask(cluster, "e2", "Where is it?")
            if any(ALL_PIECES_REUSED in line for line in recorder.lines):
                return
            self.run_async(asyncio.sleep(QUESTION_INTERVAL_S))
        self.fail("the directory does not have the history's pieces")

    def check_order(self, cluster: Cluster) -> None:
        """An order, its resend through another entry, and a refusal without a key."""
        recorder = SessionRecorder(self, cluster)
        headers = {"idempotency-key": "golden-order"}
        body = {"item": "lamp-oil"}
        for entry in ("e1", "e2"):
            work = recorder.send(entry, "/services/orders/orders", body, **headers)
            self.run_async(work)
        self.run_async(recorder.send("e1", "/services/orders/orders", body))
        recorder.record_events("e1", "e2")
        journal = (cluster.folder / "service1.journal").read_text().splitlines()
        for line in journal:
            recorder.record(f"service1: ran {line}")
        recorder.compare_with_golden("order_resent")

    def check_conflict(self, cluster: Cluster) -> None:
        """Two operators change one section on the same base version."""
        recorder = SessionRecorder(self, cluster)
        text = '# base: pools.spare 0\n[pools.spare]\nowner = "{}"\nkind = "engine"\n'
        for owner in ("north", "south"):
            path = cluster.folder / f"{owner}.toml"
            path.write_text(text.format(owner))
            recorder.run_command("config", "apply", "--wait", str(path))
        recorder.run_command("config", "history", "--since", "1")
        recorder.record_events("e1")
        recorder.compare_with_golden("operators_conflict")

    def check_planned_stop(self, cluster: Cluster) -> None:
        """An entry is stopped while a stream runs."""
        recorder = SessionRecorder(self, cluster)

        async def scenario() -> None:
            body = {"model": "route-judge", "prompt": "short", "max_tokens": 150}
            request_task = asyncio.create_task(
                recorder.send("e2", "/v1/completions", body)
            )
            log = cluster.folder / "e2.log"
            offset = recorder.offsets[log]
            while "event=dispatched" not in log.read_text()[offset:]:
                await asyncio.sleep(0.002)
            cluster.processes["e2"].signal(signal.SIGTERM)
            await request_task

        self.run_async(scenario())
        recorder.record(f"exit code {cluster.processes['e2'].wait_exit()}")
        recorder.record_events("e2")
        # The first token may come before or after the signal.
        recorder.lines = [line for line in recorder.lines if "first_token" not in line]
        recorder.compare_with_golden("planned_stop")
        cluster.processes["e2"].start()
        cluster.wait_ready()

    def check_rollout(self, cluster: Cluster) -> None:
        """A rollout of a new weight version, from the operator's file to the engine."""
        recorder = SessionRecorder(self, cluster)
        path = cluster.folder / "rollout.toml"
        path.write_text(make_document(self.deployment, "v2"))
        recorder.run_command("config", "diff", str(path))
        recorder.run_command("config", "apply", "--wait", str(path))
        self.wait_for_version(cluster, "v2")
        # The controller logs the end of a load in its next pass, after the status.
        log = cluster.folder / "c1.log"
        wait_for(
            lambda: "event=load_ended" in log.read_text()[recorder.offsets[log] :],
            LOAD_END_TIMEOUT_S,
            "the end of the load",
        )
        recorder.run_command("rollout", "pause", "engines")
        recorder.record_events("c1")
        recorder.compare_with_golden("rollout")
        caller = Caller(self.deployment, "parafina-0")
        answer = self.run_async(
            caller.send_completion(cluster.http_addresses["e1"], "new?", 3)
        )
        self.assertEqual(caller.get_expected_text("new?", 3, "v2"), answer.text)
