"""Faults of control replicas: killed, frozen or isolated ones and lost disks."""

from __future__ import annotations

import asyncio
import shutil
import time
from dataclasses import replace

from harness.cluster import Cluster, ClusterOptions
from harness.deployment import PARAFINA, ROOT_KEY, make_organisation_text
from harness.operator import Operator
from harness.process import wait_for

from .cluster_case import ClusterCase

FIVE = replace(PARAFINA, controls=5, entries=2, engines=0, services=0, stores=0)


class ControlCase(ClusterCase):
    """Base of the tests on five control replicas."""

    deployment = FIVE

    def get_leader(self, cluster: Cluster) -> str:
        """Return the leader's name."""
        return cluster.operator.call("status", {})["leader"].partition("#")[0]

    def commit_section(self, cluster: Cluster, name: str) -> int:
        """Commit a new organisation's section and return the revision."""
        text = make_organisation_text(self.deployment, name)
        result = self.run_async(cluster.operator.apply_with_retries(text))
        self.assertEqual("", result["error_code"])
        return result["revision"]

    def get_section_names(self, cluster: Cluster) -> set[str]:
        """Return the names of all sections."""
        document = cluster.operator.call("get", {})
        return {item["name"] for item in document["sections"]}

    def get_voters(self, cluster: Cluster) -> dict[str, str]:
        """Return the replica ids of the voters by name."""
        replicas = cluster.operator.call("status", {})["replicas"]
        return {
            replica["name"]: replica["replica_id"]
            for replica in replicas
            if replica["is_voter"]
        }


class MajorityTest(ControlCase):
    """Two replicas fail one after the other: killed, isolated or frozen."""

    scenarios = [
        ("killed", {"fault": "kill"}),
        ("cut_off", {"fault": "isolate"}),
        ("frozen", {"fault": "freeze"}),
    ]

    def test_two_of_five(self) -> None:
        """Writes go on with three of five replicas, and no accepted change is lost.

        The leader fails each time. At the end the two replicas that came back are
        needed for a majority, so they must have caught up.
        """
        cluster = self.start_cluster(ClusterOptions(snapshot_entries=100))
        names = set()
        write_gaps_s = []
        failed = []
        for number in range(2):
            leader = self.get_leader(cluster)
            failed.append(leader)
            started_s = time.monotonic()
            if self.fault == "kill":
                cluster.processes[leader].kill()
            elif self.fault == "freeze":
                cluster.processes[leader].freeze()
            else:
                cluster.isolate(leader)
            self.commit_section(cluster, f"after-{number}")
            write_gaps_s.append(time.monotonic() - started_s)
            names.add(f"organisations.after-{number}")
        self.assertLessEqual(names, self.get_section_names(cluster))
        for name in failed:
            if self.fault == "kill":
                cluster.processes[name].start()
            cluster.processes[name].thaw()
            cluster.rejoin(name)
        # The replicas that came back are now needed for a majority.
        for name in [other for other in cluster.controls if other not in failed][:2]:
            cluster.processes[name].kill()
        self.commit_section(cluster, "last")
        names.add("organisations.last")
        self.assertLessEqual(names, self.get_section_names(cluster))
        print(f"fault={self.fault} write_gap_s={max(write_gaps_s):.2f}")


class LostDiskTest(ControlCase):
    """Replicas lose their disk, or part of its content."""

    def test_second_loss_after_repair(self) -> None:
        """A replica without data rejoins as a voter under a new id.

        Nothing is lost if another replica is killed right after that, nor if two
        replicas with their old disks are killed at the end.
        """
        cluster = self.start_cluster(ClusterOptions(snapshot_entries=100))
        for number in range(30):
            self.commit_section(cluster, f"before-{number}")
        expected = self.get_section_names(cluster)
        for victim in ("c1", "c2"):
            old_id = self.get_voters(cluster)[victim]
            cluster.processes[victim].kill()
            shutil.rmtree(cluster.get_data_folder(victim))
            cluster.processes[victim].start()
            wait_for(
                lambda: self.get_voters(cluster).get(victim, old_id) != old_id,
                30,
                f"{victim} to vote again",
                0.1,
            )
            self.assertEqual(5, len(self.get_voters(cluster)))
            # Another replica is killed right after the rejoin, and comes back.
            cluster.processes["c3"].kill()
            self.commit_section(cluster, f"repaired-{victim}")
            expected.add(f"organisations.repaired-{victim}")
            self.assertEqual(expected, self.get_section_names(cluster))
            cluster.processes["c3"].start()
        for name in ("c4", "c5"):
            cluster.processes[name].kill()
        self.commit_section(cluster, "replacements-carry")
        self.assertLessEqual(expected, self.get_section_names(cluster))

    def test_torn_log_and_damage(self) -> None:
        """A torn last record is repaired; a corrupt earlier one stops the replica."""
        cluster = self.start_cluster()
        for number in range(5):
            self.commit_section(cluster, f"before-{number}")
        path = cluster.get_data_folder("c1") / "log"
        cluster.processes["c1"].kill()
        with open(path, "ab") as stream:
            stream.write(path.read_bytes()[:50])
        cluster.processes["c1"].start()
        cluster.processes["c2"].kill()
        path = cluster.get_data_folder("c2") / "log"
        data = bytearray(path.read_bytes())
        data[40] ^= 255
        path.write_bytes(data)
        cluster.processes["c2"].start()
        self.assertEqual(1, cluster.processes["c2"].wait_exit())
        output = cluster.processes["c2"].read_output()
        self.assertIn("log_corrupt", output.splitlines()[-1])
        self.assertNotIn("Traceback", output)
        cluster.processes["c3"].kill()
        self.commit_section(cluster, "three-left")


class LimitTest(ClusterCase):
    """An organisation's rate limit over all entries, with one of them killed."""

    RATE_PER_S = 40.0
    DURATION_S = 8.0

    def test_rate(self) -> None:
        """At most 5% over the rate on all entries; 95% of the rate usable on one.

        The upper bound holds in every window of 5 s.
        """
        cluster = self.start_cluster(
            ClusterOptions(has_proxies=False, service_arguments=["--work-s", "0.001"])
        )
        entries = [cluster.http_addresses[name] for name in cluster.entries]
        operator = Operator(entries, ROOT_KEY)
        for index, addresses in ((0, entries[:1]), (1, entries)):
            caller = self.make_caller(index)
            text = make_organisation_text(
                self.deployment, caller.organisation, self.RATE_PER_S
            )
            operator.apply(text)
            times = self.run_async(self.send(cluster, caller, addresses))
            for start_s in times:
                window = sum(start_s <= at_s < start_s + 5 for at_s in times)
                self.assertLessEqual(window, self.RATE_PER_S * 5 * 1.05 + 1)
            if len(addresses) == 1:
                steady_times = [at_s for at_s in times if at_s > times[0] + 1]
                rate = len(steady_times) / (steady_times[-1] - steady_times[0])
                self.assertGreaterEqual(rate, self.RATE_PER_S * 0.95)

    async def send(self, cluster: Cluster, caller, addresses: list[str]) -> list[float]:
        """Send more requests than the rate allows.

        Returns:
            The times of the successful answers, in order.
        """
        times: list[float] = []
        stop_s = time.monotonic() + self.DURATION_S

        async def send_requests(number: int) -> None:
            while time.monotonic() < stop_s:
                address = addresses[number % len(addresses)]
                answer = await caller.call_service(address, "GET", "/stock/oil")
                if answer.status == 200:
                    times.append(time.monotonic())
                elif answer.code == "no_answer":
                    await asyncio.sleep(0.2)
                else:
                    self.assertIn(answer.code, ("rate_limited", "no_lease"))

        async def kill_entry() -> None:
            await asyncio.sleep(self.DURATION_S / 2)
            if len(addresses) > 1:
                cluster.processes["e2"].kill()

        await asyncio.gather(
            kill_entry(), *(send_requests(number) for number in range(24))
        )
        return sorted(times)
