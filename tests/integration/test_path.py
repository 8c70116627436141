"""The complete request path: caller, entry, engine or service, and back."""

from __future__ import annotations

import asyncio

from harness.deployment import PARAFINA, STILEPATH

from .cluster_case import ClusterCase, make_prompt_text


class PathTest(ClusterCase):
    """A question and an order through a cluster of real processes."""

    scenarios = [
        ("parafina", {"deployment": PARAFINA}),
        ("stilepath", {"deployment": STILEPATH}),
    ]

    def test_question_and_order(self) -> None:
        """Answers are correct on every entry node, and an order runs once."""
        cluster = self.start_cluster()
        caller = self.make_caller()
        prompt = make_prompt_text("path", 3000) + "Is the route viable?"
        expected = caller.get_expected_text(prompt)

        async def scenario() -> None:
            for entry in cluster.entries:
                address = cluster.http_addresses[entry]
                answer = await caller.send_completion(address, prompt)
                self.assertEqual((200, True), (answer.status, answer.is_complete))
                self.assertEqual(expected, answer.text)
            addresses = [cluster.http_addresses[name] for name in cluster.entries]
            orders = await asyncio.gather(
                *(caller.send_order(address, "order-1") for address in addresses)
            )
            self.assertEqual([201] * len(orders), [item.status for item in orders])
            self.assertEqual(1, len({item.body for item in orders}))

        self.run_async(scenario())
        name = f"{caller.organisation}/order-1"
        self.assertEqual({name: 1}, cluster.read_orders())
