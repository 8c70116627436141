"""Non-idempotent requests run at most once while processes are killed."""

from __future__ import annotations

import asyncio
import random
import time

from harness.cluster import Cluster, ClusterOptions
from harness.history import History, Record
from laburnumpitch.transport.http_client import HttpClientPool

from .cluster_case import ClusterCase

ORDERS = 2000
RESEND_SHARE = 0.1
"""Share of the orders that are sent twice."""

SENDERS = 24
"""Number of tasks that send orders concurrently."""

KILLS = 8
KILL_INTERVAL_S = 1.0


class OrdersUnderKillsTest(ClusterCase):
    """2,000 orders, one in ten sent twice, through two entries at once."""

    def test_at_most_once(self) -> None:
        """No order runs twice, and no order that was refused as `not_run` runs."""
        cluster = self.start_cluster(ClusterOptions(has_proxies=False))
        history = History()
        self.run_async(self.run_orders(cluster, history))
        verdicts = history.check_orders(cluster)
        for verdict in verdicts:
            self.assertEqual([], verdict.violations, verdict.name)
        self.assertEqual(ORDERS, verdicts[0].checked)
        self.assertGreater(history.count(status=201), ORDERS / 2)
        print(history.summarise())

    async def run_orders(self, cluster: Cluster, history: History) -> None:
        """Send all orders while entries and control replicas are killed."""
        http = HttpClientPool()
        pending = list(range(ORDERS))
        rng = random.Random(11)
        callers = [self.make_caller(index) for index in range(4)]
        addresses = [cluster.http_addresses[name] for name in cluster.entries]

        async def send_order(caller, address: str, key: str) -> None:
            started_s = time.monotonic()
            answer = await caller.send_order(address, key)
            history.add(Record("order", caller, address, started_s, answer, key=key))

        async def send_pending() -> None:
            while pending:
                number = pending.pop()
                caller = callers[number % len(callers)]
                first, second = rng.sample(addresses, 2)
                copies = [send_order(caller, first, f"k{number}")]
                if rng.random() < RESEND_SHARE:
                    copies.append(send_order(caller, second, f"k{number}"))
                await asyncio.gather(*copies)

        senders = [asyncio.create_task(send_pending()) for _ in range(SENDERS)]
        names = [*cluster.entries, *cluster.controls]
        for _ in range(KILLS):
            await asyncio.sleep(KILL_INTERVAL_S)
            victim = cluster.processes[rng.choice(names)]
            await asyncio.to_thread(victim.kill)
            await asyncio.sleep(0.3)
            victim.start()
        await asyncio.gather(*senders)
        http.close()


class LostAnswerTest(ClusterCase):
    """The outcome of an order when the service's answer is lost or it is down."""

    def test_lost_answer_is_unknown(self) -> None:
        """A lost answer gives `outcome_unknown`, and a retry does not run the order.

        Also checks that a key is refused for another order, and an order without
        a key.
        """
        cluster = self.start_cluster()
        caller = self.make_caller()
        addresses = [cluster.http_addresses[name] for name in cluster.entries]
        for name in cluster.http_addresses:
            if name.startswith("service"):
                cluster.proxy.set_faults(f"nodes>{name}", drop_answers=1000)

        async def scenario() -> None:
            first = await caller.send_order(addresses[0], "lost")
            self.assertEqual(("outcome_unknown", "unknown"), (first.code, first.run))
            for link in list(cluster.proxy.links):
                if link.startswith("nodes>service"):
                    cluster.proxy.set_faults(link, drop_answers=0)
            retry = await caller.send_order(addresses[1], "lost")
            self.assertEqual(("outcome_unknown", "unknown"), (retry.code, retry.run))
            other = await caller.send_order(addresses[1], "lost", item="wick")
            self.assertEqual("idempotency_key_reused", other.code)
            missing = await caller.call_service(
                addresses[0], "POST", "/orders", {"item": "oil"}
            )
            self.assertEqual("idempotency_key_required", missing.code)
            self.assertTrue(missing.is_refused)

        self.run_async(scenario())
        name = f"{caller.organisation}/lost"
        self.assertEqual({name: 1}, cluster.read_orders())

    def test_refused_connection_is_not_run(self) -> None:
        """Without a reachable service the order does not run and is refused.

        The refusal says `not_run`, or `unknown` with status 502.
        """
        cluster = self.start_cluster()
        caller = self.make_caller()
        for name in cluster.http_addresses:
            if name.startswith("service"):
                cluster.processes[name].kill()
        address = cluster.http_addresses["e1"]

        async def scenario() -> None:
            answer = await caller.call_service(
                address,
                "POST",
                "/orders",
                {"item": "oil"},
                [("idempotency-key", "refused"), ("x-deadline-ms", "1500")],
            )
            self.assertTrue(answer.code)
            self.assertEqual(
                "unknown" if answer.status == 502 else "not_run", answer.run
            )

        self.run_async(scenario())
        self.assertEqual({}, cluster.read_orders())
