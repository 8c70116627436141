"""A planned stop fails no request; a leaving target gets no new requests."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace

import msgspec

from harness.caller import Answer
from harness.cluster import Cluster, ClusterOptions
from harness.load import LoadGenerator, LoadShape
from harness.ports import reserve_port
from harness.process import wait_for
from laburnumpitch.transport.http_client import HttpClient

from .cluster_case import ClusterCase, make_prompt_text

STREAM_COUNT = 500
REQUESTS_PER_S = 10.0 * STREAM_COUNT
"""The organisation's rate limit. At its usual one, the last of so many simultaneous
requests gets its token after 0.9 s of a maximum wait of 1 s, and a refusal for the
rate limit would hide what the stop causes."""

STOP_AFTER_ANSWERS = 100
"""Number of answers after which the entry is stopped."""


async def get_debug_state(address: str) -> dict:
    """Return a stand-in's counters."""
    client = HttpClient(address)
    answer = await client.request(
        "GET", "/v1/debug/state", [], b"", first_byte_timeout_s=5.0
    )
    state = msgspec.json.decode(await answer.read())
    client.close()
    return state


class PlannedStopTest(ClusterCase):
    """SIGTERM to an entry under 500 concurrent streams."""

    def start_balancer(self, cluster: Cluster) -> str:
        """Start the stand-in balancer and return its address."""
        port = reserve_port()
        entries = ",".join(cluster.http_addresses[name] for name in cluster.entries)
        arguments = ["-m", "standins.balancer", "--port", str(port)]
        process = cluster.add_process("balancer", [*arguments, "--entries", entries])
        process.start()
        wait_for(lambda: is_listening(port), 10, "the balancer")
        return f"127.0.0.1:{port}"

    def test_entry_stops_and_returns(self) -> None:
        """Every answer is complete and correct while an entry stops and restarts."""
        self.deployment = replace(self.deployment, requests_per_s=REQUESTS_PER_S)
        cluster = self.start_cluster(ClusterOptions(has_proxies=False))
        balancer = self.start_balancer(cluster)
        caller = self.make_caller()
        prompts = [
            make_prompt_text(f"stop {number % 20}", 600) + f"question {number}?"
            for number in range(STREAM_COUNT)
        ]

        async def scenario() -> list[Answer]:
            tasks = [
                asyncio.create_task(caller.send_completion(balancer, prompt, 24))
                for prompt in prompts
            ]
            while sum(task.done() for task in tasks) < STOP_AFTER_ANSWERS:
                await asyncio.sleep(0.01)
            process = cluster.processes["e1"]
            process.signal(signal.SIGTERM)
            code = await asyncio.to_thread(process.wait_exit)
            self.assertEqual(0, code)
            await asyncio.to_thread(process.start)
            await asyncio.to_thread(cluster.wait_ready, ["e1"])
            return await asyncio.gather(*tasks)

        answers = self.run_async(scenario())
        incomplete = [answer for answer in answers if not answer.is_complete]
        self.assertEqual([], incomplete)
        wrong = [
            prompt
            for prompt, answer in zip(prompts, answers)
            if answer.text != caller.get_expected_text(prompt, 24)
        ]
        self.assertEqual([], wrong)
        log = (cluster.folder / "e1.log").read_text()
        self.assertIn("event=drain_started", log)


class LeavingTargetTest(ClusterCase):
    """Targets announce that they are leaving while an entry is isolated."""

    def test_no_new_work(self) -> None:
        """No request reaches a target later than 3 s after it announced its leaving."""
        cluster = self.start_cluster(ClusterOptions(announce_entries=2))

        async def scenario() -> dict:
            load = LoadGenerator(
                cluster, LoadShape(callers=16, order_share=0.5), seed=3
            )
            load.start()
            await asyncio.sleep(1.0)
            # e3 cannot learn of the leaving; its expired lease must stop it.
            await asyncio.to_thread(cluster.isolate, "e3")
            leaving = [cluster.processes[name] for name in ("engine1", "service1")]
            for process in leaving:
                process.signal(signal.SIGTERM)
            state = {}
            while cluster.processes["engine1"].is_running:
                try:
                    state = await get_debug_state(cluster.http_addresses["engine1"])
                except Exception:
                    break
                await asyncio.sleep(0.05)
            for process in leaving:
                await asyncio.to_thread(process.wait_exit)
            await asyncio.to_thread(cluster.rejoin, "e3")
            self.history = await load.stop()
            return state

        state = self.run_async(scenario())
        self.assertEqual(0, state["late_requests"])
        journal = (cluster.folder / "service1.journal").read_text()
        self.assertNotIn(" late", journal)
        self.assertEqual([], self.history.check_answers().violations)
        self.assertGreater(self.history.count(status=200), 50)


def is_listening(port: int) -> bool:
    """Whether something accepts connections on a port."""

    async def connect() -> bool:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return False
        writer.close()
        return True

    return asyncio.run(connect())
