"""An accepted configuration comes into force on all nodes and never reverts."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import replace

from harness.cluster import Cluster, ClusterOptions
from harness.deployment import (
    PARAFINA,
    ROOT_KEY,
    get_organisation,
    hash_key,
    make_organisation_text as make_text,
)
from harness.operator import Operator, OperatorError

from .cluster_case import ClusterCase

OPERATORS = 8
CHANGES = 300
RESEND_SHARE = 0.2
"""Share of the changes that are sent twice."""

IN_FORCE_BOUND_S = 5.0
"""Time after its acceptance in which a change comes into force on all nodes."""


def make_section(owner: str, rate: int) -> str:
    """Return a small section; its rate identifies the change that wrote it."""
    text = make_text(PARAFINA, owner, requests_per_s=float(rate))
    return text.replace(f"key-of-{owner}", owner)


class RacingOperatorsTest(ClusterCase):
    """8 operators send 300 conflicting changes, some of them twice."""

    def test_each_change_once(self) -> None:
        """Each change is applied once or refused, and the history gives the document.

        This holds while control replicas are killed, and after a restart of all
        control replicas and entries.
        """
        cluster = self.start_cluster(ClusterOptions(snapshot_entries=100))
        names = [f"race-{index}" for index in range(4)]
        results: dict[str, list[dict]] = {}
        self.run_async(self.run_operators(cluster, names, results))
        self.check_history(cluster, names, results)
        for name in [*cluster.controls, *cluster.entries]:
            cluster.processes[name].kill()
        for name in [*cluster.controls, *cluster.entries]:
            cluster.processes[name].start()
        cluster.wait_ready()
        self.check_history(cluster, names, results)

    async def run_operators(
        self, cluster: Cluster, names: list[str], results: dict
    ) -> None:
        """Let operators change the same sections concurrently."""
        rng = random.Random(5)
        pending = list(range(CHANGES))
        entries = [cluster.http_addresses[name] for name in cluster.entries]

        async def submit_change(operator: Operator, number: int) -> None:
            name = rng.choice(names)
            current = await operator.call_with_retries("get", {})
            versions = {item["name"]: item["version"] for item in current["sections"]}
            section = f"organisations.{name}"
            body = {
                "change_id": f"change-{number}",
                "sections": [
                    {
                        "name": section,
                        "base_version": versions.get(section, 0),
                        "text": make_section(name, number + 1),
                    }
                ],
            }
            send_count = 1 + (rng.random() < RESEND_SHARE)
            for _ in range(send_count):
                # Sending the change again is what an operator does after a lost answer.
                result = await operator.call_with_retries("apply", body)
                results.setdefault(body["change_id"], []).append(result)

        async def apply_pending() -> None:
            operator = Operator(entries, ROOT_KEY)
            while pending:
                await submit_change(operator, pending.pop())

        async def kill_replicas() -> None:
            for _ in range(3):
                await asyncio.sleep(0.7)
                victim = cluster.processes[rng.choice(cluster.controls)]
                await asyncio.to_thread(victim.kill)
                await asyncio.sleep(0.2)
                victim.start()

        await asyncio.gather(
            kill_replicas(), *(apply_pending() for _ in range(OPERATORS))
        )

    def check_history(self, cluster: Cluster, names: list[str], results: dict) -> None:
        """Check that results, history and document agree."""
        operator = cluster.operator
        document = operator.call("get", {})
        history = operator.call("history", {"since": 0})
        applied = [item["change_id"] for item in history]
        self.assertEqual(len(applied), len(set(applied)))
        for change_id, change_results in results.items():
            self.assertEqual(
                1, len({str(result) for result in change_results}), change_results
            )
            is_accepted = not change_results[0]["error_code"]
            self.assertEqual(is_accepted, change_id in applied, change_id)
            if not is_accepted:
                self.assertEqual("version_conflict", change_results[0]["error_code"])
        replayed: dict[str, str] = {}
        for item in history:
            for section in item["sections"]:
                replayed[section["name"]] = section["text"]
        texts = {item["name"]: item["text"] for item in document["sections"]}
        self.assertEqual(replayed, texts)
        self.assertEqual(CHANGES, len(results))


class InForceTest(ClusterCase):
    """A revoked API key is refused by all nodes, also by an isolated one."""

    deployment = replace(PARAFINA, controls=5)

    scenarios = [
        ("leader_killed", {"fault": "kill"}),
        ("leader_frozen", {"fault": "freeze"}),
        ("leader_cut_off", {"fault": "isolate"}),
    ]

    def test_revoked_key(self) -> None:
        """Once the change is in force no node accepts the key, despite faults.

        The leader and one more replica fail, and the entry e3 can reach only the
        failed leader. Without a lease that expires, e3 would go on under the old
        configuration. The operator's wait must report the revision as in force; the
        wait lasts at most the bound of 5 s and 15 s more. Each node then refuses the
        key, or all work because it has no lease.
        """
        cluster = self.start_cluster()
        organisation = get_organisation(self.deployment, 0)
        caller = self.make_caller()
        status = cluster.operator.call("status", {})
        leader = status["leader"].partition("#")[0]
        other = next(name for name in cluster.controls if name != leader)
        # The entry e3 can reach only the leader that fails.
        for name in cluster.controls:
            if name != leader:
                cluster.proxy.cut(f"e3>{name}")
        self.inject_fault(cluster, leader)
        cluster.processes[other].kill()
        text = make_text(self.deployment, organisation).replace(
            "api_key_hashes = [", "api_key_hashes = [] # ["
        )
        entries = [cluster.http_addresses[name] for name in ("e1", "e2")]
        operator = Operator(entries, ROOT_KEY)
        result = self.run_async(operator.apply_with_retries(text, "revoke"))
        self.assertEqual("", result["error_code"])
        accepted_s = time.monotonic()
        waited = operator.call(
            "wait", {"revision": result["revision"], "timeout_s": IN_FORCE_BOUND_S + 15}
        )
        in_force_s = time.monotonic() - accepted_s
        self.assertEqual([], waited["lagging"])
        for name in cluster.entries:
            answer = self.run_async(
                caller.send_completion(cluster.http_addresses[name], "hello", 2, 2000)
            )
            self.assertIn(answer.code, ("unauthenticated", "no_lease"), name)
            self.assertTrue(answer.is_refused)
        print(f"fault={self.fault} in_force_s={in_force_s:.2f}")
        self.remove_fault(cluster, leader)
        cluster.processes[other].start()
        cluster.proxy.heal_all()
        cluster.wait_ready()
        for name in cluster.entries:
            answer = self.run_async(
                caller.send_completion(cluster.http_addresses[name], "hello", 2, 2000)
            )
            self.assertEqual("unauthenticated", answer.code, name)

    def inject_fault(self, cluster: Cluster, name: str) -> None:
        """Inject the scenario's fault."""
        if self.fault == "kill":
            cluster.processes[name].kill()
        elif self.fault == "freeze":
            cluster.processes[name].freeze()
        else:
            # Cut the links between the replicas only; entries still reach it.
            for link in cluster.list_links(name):
                if not link.startswith("e"):
                    cluster.proxy.cut(link)

    def remove_fault(self, cluster: Cluster, name: str) -> None:
        """Remove the scenario's fault."""
        if self.fault == "kill":
            cluster.processes[name].start()
        cluster.processes[name].thaw()


class OwnersTest(ClusterCase):
    """Operators may change only sections that their teams own."""

    def test_owner_and_key(self) -> None:
        """A wrong key, a section of another team and an unknown field are refused."""
        cluster = self.start_cluster(ClusterOptions(has_proxies=False))
        cluster.operator.apply(
            '[operators.ana]\nowner = "admins"\n'
            f'key_hash = "{hash_key("ana-key")}"\nteams = ["customers"]\n'
        )
        entries = [cluster.http_addresses[name] for name in cluster.entries]
        ana = Operator(entries, "ana-key", "ana")
        text = make_text(self.deployment, "new-organisation")
        self.assertEqual("", self.run_async(ana.apply_with_retries(text))["error_code"])
        pool = '[pools.other]\nowner = "platform"\nkind = "engine"\n'
        result = self.run_async(ana.apply_with_retries(pool))
        self.assertEqual("forbidden", result["error_code"])
        wrong = Operator(entries, "wrong", "ana")
        error = self.assertRaises(OperatorError, wrong.call, "get", {})
        self.assertEqual("unauthenticated", error.code)
        bad = text.replace("models =", "modles =")
        result = self.run_async(ana.apply_with_retries(bad))
        self.assertEqual("invalid_document", result["error_code"])
        self.assertIn("modles", result["detail"])
