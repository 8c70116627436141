"""Measures each policy in each scenario and prints one key=value line for each pair."""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import time
from dataclasses import replace

from harness.cluster import Cluster, ClusterOptions
from harness.deployment import DEPLOYMENTS, Deployment

from .scenarios import SCENARIOS, Measurement, ScenarioRunner

POLICIES = ("least_loaded", "prefix_affinity", "laburnumpitch", "oracle")
BASELINES = ("least_loaded", "prefix_affinity")
"""Policies that read no kept context from stores."""


def make_options(policy: str, seed: int) -> ClusterOptions:
    """Return the cluster's options for a policy.

    The baselines import nothing, so export is off for them. The oracle is the
    laburnumpitch policy on the same capacity, with load reports every 50 ms and with
    cache events that are neither late nor lost.
    """
    options = ClusterOptions(seed=seed, has_proxies=False, policy=policy)
    if policy in BASELINES:
        options.export = "off"
    if policy == "oracle":
        options.policy = "laburnumpitch"
        options.event_gap_share = 0.0
        options.announce_interval_s = 0.05
        options.engine_arguments = ["--event-delay-s", "0"]
    return options


async def run_scenario(cluster: Cluster, name: str, seed: int) -> Measurement:
    """Warm a cluster up and measure a scenario on it."""
    runner = ScenarioRunner(cluster, seed)
    await runner.warm_up()
    try:
        return await runner.measure(SCENARIOS[name](runner))
    finally:
        runner.http.close()


def get_quantile(values: list[float], share: float) -> float:
    """Return a quantile of some values; NaN if there are none."""
    if not values:
        return float("nan")
    sorted_values = sorted(values)
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


def format_row(
    deployment: Deployment, name: str, policy: str, result: Measurement
) -> str:
    """Return the results of one scenario and policy as a key=value line."""
    complete = [sample for sample in result.samples if sample.answer.is_complete]
    ttfts_ms = [sample.answer.first_token_s * 1000 for sample in complete]
    context_tokens = max(1, result.recomputed_tokens + result.reused_tokens)
    busy_share = result.link_busy_s / (deployment.stores * result.duration_s)
    refused = sum(not sample.answer.is_complete for sample in result.samples)
    return (
        f"deployment={deployment.name} scenario={name} policy={policy} "
        f"ttft_p50_ms={statistics.median(ttfts_ms) if ttfts_ms else float('nan'):.0f} "
        f"ttft_p95_ms={get_quantile(ttfts_ms, 0.95):.0f} "
        f"recomputed_share={result.recomputed_tokens / context_tokens:.3f} "
        f"link_busy_share={busy_share:.3f} "
        f"wrong={sum(not sample.is_correct for sample in result.samples)} "
        f"refused={refused}"
    )


def measure_policy(deployment: Deployment, name: str, policy: str, seed: int) -> str:
    """Run one scenario under one policy on a new cluster and return its row."""
    with Cluster(deployment, make_options(policy, seed)) as cluster:
        result = asyncio.run(run_scenario(cluster, name, seed))
    return format_row(deployment, name, policy, result)


def main() -> int:
    """Parse the command line and run the benchmarks that it selects."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="parafina")
    parser.add_argument("--scenario", choices=SCENARIOS, default="")
    parser.add_argument("--policy", choices=POLICIES, default="")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    deployment = replace(
        DEPLOYMENTS[arguments.deployment], controls=1, services=0, cache_pieces=40
    )
    scenario_names = [arguments.scenario] if arguments.scenario else list(SCENARIOS)
    policies = [arguments.policy] if arguments.policy else POLICIES
    started_s = time.monotonic()
    for name in scenario_names:
        for policy in policies:
            print(measure_policy(deployment, name, policy, arguments.seed), flush=True)
    print(f"duration_s={time.monotonic() - started_s:.0f} seed={arguments.seed}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
