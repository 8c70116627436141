"""Measures the policies in every scenario and prints one key=value line a row."""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import time
from dataclasses import replace

from harness.cluster import Cluster, ClusterOptions
from harness.deployment import DEPLOYMENTS, Deployment

from .scenarios import SCENARIOS, Measurement, Scenario

POLICIES = ("least_loaded", "prefix_affinity", "laburnumpitch", "oracle")
BASELINES = ("least_loaded", "prefix_affinity")


def make_options(policy: str, seed: int) -> ClusterOptions:
    """Return the cluster's options for a policy.

    The baselines import nothing, so they export nothing either. The oracle is
    our policy on the same capacity with current load reports and without late
    or lost events.
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
    """Warm a cluster up and measure a scenario."""
    scenario = Scenario(cluster, seed)
    await scenario.warm_up()
    try:
        return await scenario.measure(SCENARIOS[name](scenario))
    finally:
        scenario.http.close()


def get_quantile(values: list[float], share: float) -> float:
    """Return a quantile; not a number without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def render(deployment: Deployment, name: str, policy: str, result: Measurement) -> str:
    """Return one row."""
    whole = [sample for sample in result.samples if sample.answer.is_complete]
    times = [sample.answer.first_token_s * 1000 for sample in whole]
    context = max(1, result.recomputed_tokens + result.reused_tokens)
    busy = result.link_busy_s / (deployment.stores * result.duration_s)
    failed = sum(not sample.answer.is_complete for sample in result.samples)
    return (
        f"deployment={deployment.name} scenario={name} policy={policy} "
        f"ttft_p50_ms={statistics.median(times) if times else float('nan'):.0f} "
        f"ttft_p95_ms={get_quantile(times, 0.95):.0f} "
        f"recomputed_share={result.recomputed_tokens / context:.3f} "
        f"link_busy_share={busy:.3f} "
        f"wrong={sum(not sample.is_right for sample in result.samples)} "
        f"refused={failed}"
    )


def measure(deployment: Deployment, name: str, policy: str, seed: int) -> str:
    """Run one scenario under one policy on a new cluster and return its row."""
    with Cluster(deployment, make_options(policy, seed)) as cluster:
        result = asyncio.run(run_scenario(cluster, name, seed))
    return render(deployment, name, policy, result)


def main() -> int:
    """Read the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="parafina")
    parser.add_argument("--scenario", choices=SCENARIOS, default="")
    parser.add_argument("--policy", choices=POLICIES, default="")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    deployment = replace(
        DEPLOYMENTS[arguments.deployment], controls=1, services=0, cache_pieces=40
    )
    names = [arguments.scenario] if arguments.scenario else list(SCENARIOS)
    policies = [arguments.policy] if arguments.policy else POLICIES
    started_s = time.monotonic()
    for name in names:
        for policy in policies:
            print(measure(deployment, name, policy, arguments.seed), flush=True)
    print(f"duration_s={time.monotonic() - started_s:.0f} seed={arguments.seed}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
