"""API keys of requests that wait while the configuration changes."""

from __future__ import annotations

import asyncio

from .relay_case import API_KEY, RelayCase, make_answer

FULL = 100
"""More requests than any target takes."""


class WaitingRequestTest(RelayCase):
    """A request waits for a target as the last organisation is removed."""

    def test_key_stays_here(self) -> None:
        """The target gets the organisation's name, and not the key."""

        async def scenario() -> None:
            stats = self.services.statistics.get("t0")
            stats.running = FULL
            sending = asyncio.ensure_future(self.send_request("read"))
            while not self.services.dispatcher.queue:
                await asyncio.sleep(0)
            self.change_configuration(organisations=())
            stats.running = 0
            self.services.dispatcher.wake_queues()
            status, _, _ = await sending
            self.assertEqual(200, status)
            (request,) = self.targets[0].requests
            self.assertNotIn(API_KEY.encode(), request)
            self.assertIn(b"tenant: org", request.lower())

        self.run_relay([[make_answer()]], scenario)


class LastOrganisationTest(RelayCase):
    """The organisations of a configuration, of which none may be left.

    Guards against the key of the last organisation, which was withdrawn with it, that
    went on to work and reached the targets.
    """

    scenarios = [
        ("no_list", {"lists": False, "status": 200, "sent": 1}),
        ("empty_list", {"lists": True, "status": 401, "sent": 0}),
    ]

    def test_key_is_refused(self) -> None:
        """No key is valid by an empty list; without a list none is needed."""

        async def scenario() -> None:
            self.change_configuration(organisations=(), lists_organisations=self.lists)
            status, _, _ = await self.send_request("read")
            self.assertEqual(self.status, status)
            self.assertEqual([self.sent], self.count_requests())

        self.run_relay([[make_answer()]], scenario)
