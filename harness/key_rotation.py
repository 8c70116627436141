"""Rotates an API key periodically and checks that entries refuse the old one."""

from __future__ import annotations

import asyncio
import random
import uuid

from .caller import Caller
from .cluster import Cluster
from .deployment import ROOT_KEY, hash_key, make_organisation_text
from .history import Verdict
from .operator import Operator, OperatorError

ORGANISATION = "churn"
"""Organisation whose key is rotated; the load generator sends nothing for it."""

ROTATION_INTERVAL_S = 0.5
IN_FORCE_TIMEOUT_S = 5.0
"""Time from acceptance within which a change must be in force on every node."""


class KeyRotation:
    """Replaces the key of an organisation, and checks each change on every entry.

    Args:
        cluster: The cluster to change.
        seed: Seed of the choice of entries.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.stop_requested = False
        self.in_force = Verdict("configuration_in_force")
        self.exactly_once = Verdict("change_applied_once")
        self.changes = 0
        self.confirmed_changes = 0
        """Changes that control reported as in force within `IN_FORCE_TIMEOUT_S`."""
        entries = [cluster.http_addresses[name] for name in cluster.entries]
        self.operator = Operator(entries, ROOT_KEY)
        self.competing_operator = Operator(entries, ROOT_KEY)

    async def run(self) -> None:
        """Rotate the key until a stop is requested."""
        while not self.stop_requested:
            try:
                await self.rotate_key()
            except (TimeoutError, OperatorError):
                pass
            await asyncio.sleep(ROTATION_INTERVAL_S)

    def make_section_text(self, key: str) -> str:
        """Return the organisation's section with the given key."""
        text = make_organisation_text(self.cluster.deployment, ORGANISATION)
        return text.replace(hash_key(f"key-of-{ORGANISATION}"), hash_key(key))

    async def rotate_key(self) -> None:
        """Send competing changes by two operators, and check the accepted one."""
        self.changes += 1
        current = await self.operator.call_with_retries("get", {})
        section = f"organisations.{ORGANISATION}"
        versions = {item["name"]: item["version"] for item in current["sections"]}
        keys = [f"{ORGANISATION}-{self.changes}-{side}" for side in "ab"]
        changes = [
            {
                "change_id": uuid.uuid4().hex,
                "sections": [
                    {
                        "name": section,
                        "base_version": versions.get(section, 0),
                        "text": self.make_section_text(key),
                    }
                ],
            }
            for key in keys
        ]
        results = await asyncio.gather(
            self.operator.call_with_retries("apply", changes[0]),
            self.competing_operator.call_with_retries("apply", changes[1]),
        )
        resent_result = await self.operator.call_with_retries("apply", changes[0])
        self.exactly_once.expect(
            resent_result == results[0], "a resend got another answer"
        )
        winning_keys = [
            key for key, item in zip(keys, results) if not item["error_code"]
        ]
        self.exactly_once.expect(
            len(winning_keys) == 1,
            f"{len(winning_keys)} of two competing changes were accepted",
        )
        if len(winning_keys) != 1:
            return
        revision = max(item["revision"] for item in results)
        await self.check_revoked_keys(
            revision, winning_keys[0], f"{ORGANISATION}-{self.changes - 1}-"
        )

    async def check_revoked_keys(
        self, revision: int, key: str, old_prefix: str
    ) -> None:
        """Try the old keys at every entry, once the new one must be in force.

        That is when control reports it, or else after `IN_FORCE_TIMEOUT_S`.
        """
        body = {"revision": revision, "timeout_s": IN_FORCE_TIMEOUT_S}
        wait_task = asyncio.create_task(self.operator.call_with_retries("wait", body))
        done, _ = await asyncio.wait({wait_task}, timeout=IN_FORCE_TIMEOUT_S)
        wait_task.cancel()
        self.confirmed_changes += bool(done) and not wait_task.result()["lagging"]
        for name in self.cluster.entries:
            for side in "ab":
                caller = Caller(self.cluster.deployment, ORGANISATION)
                caller.authorization = ("authorization", f"Bearer {old_prefix}{side}")
                answer = await caller.send_completion(
                    self.cluster.http_addresses[name], "old key", 1, 1000
                )
                self.in_force.expect(
                    answer.status != 200,
                    f"{name} accepted a key that revision {revision} revoked",
                )
