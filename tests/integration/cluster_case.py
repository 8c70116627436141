"""Base class of the tests that run a cluster."""

from __future__ import annotations

import asyncio

import testtools

from harness.caller import Caller
from harness.cluster import Cluster, ClusterOptions
from harness.deployment import PARAFINA, Deployment, get_organisation
from harness.process import wait_for


class ClusterCase(testtools.TestCase):
    """A test that starts its own cluster."""

    deployment: Deployment = PARAFINA

    def start_cluster(self, options: ClusterOptions | None = None) -> Cluster:
        """Start a cluster that is closed at the end of the test."""
        cluster = Cluster(self.deployment, options)
        self.addCleanup(cluster.close)
        cluster.start()
        return cluster

    def make_caller(self, index: int = 0) -> Caller:
        """Return a caller that belongs to one of the organisations."""
        return Caller(self.deployment, get_organisation(self.deployment, index))

    def run_async(self, work):
        """Run a coroutine and return its result."""
        return asyncio.run(work)

    def wait_for_version(self, cluster: Cluster, version: str) -> None:
        """Wait until every engine serves a weight version."""
        operator = cluster.operator

        def is_done() -> bool:
            loads = operator.call("status", {})["loads"]
            served = [
                item["weight_version"]
                for item in loads
                if item["target_id"].startswith("engine")
            ]
            return served == [version] * self.deployment.engines

        wait_for(is_done, 60, f"{version} on every engine", 0.1)


def make_prompt_text(seed: str, tokens: int) -> str:
    """Return a text of the given length; different seeds give different texts."""
    line = f"delivery {seed}: route open, two cans at the gate. "
    return (line * (tokens * 4 // len(line) + 1))[: tokens * 4]
