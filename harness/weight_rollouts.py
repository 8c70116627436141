"""Rolls out one weight version after another while a fault schedule runs."""

from __future__ import annotations

import asyncio

from laburnumpitch.control.document import split_sections

from .cluster import Cluster
from .deployment import ROOT_KEY, make_document
from .operator import Operator, OperatorError

ROLLOUT_INTERVAL_S = 6.0


class WeightRollouts:
    """Changes the weight version of a cluster's model periodically.

    Args:
        cluster: The cluster to change.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.versions = ["v1"]
        """Versions that may serve answers, in the sequence of their rollouts."""
        self.stop_requested = asyncio.Event()
        entries = [cluster.http_addresses[name] for name in cluster.entries]
        self.operator = Operator(entries, ROOT_KEY)

    async def run(self) -> None:
        """Roll out new versions until a stop is requested."""
        while not self.stop_requested.is_set():
            try:
                await asyncio.wait_for(self.stop_requested.wait(), ROLLOUT_INTERVAL_S)
            except asyncio.TimeoutError:
                await self.roll_out(f"v{len(self.versions) + 1}")

    async def roll_out(self, version: str) -> None:
        """Set another weight version in the document."""
        # Once sent, the change may be in force even without an answer.
        self.versions.append(version)
        document = make_document(self.cluster.deployment, version)
        model = f"models.{self.cluster.deployment.model}"
        try:
            await self.operator.apply_with_retries(split_sections(document)[model])
        except (TimeoutError, OperatorError):
            pass
