"""Requests that cannot be written as HTTP."""

from __future__ import annotations

from laburnumpitch.relay.configuration import Organisation

from .relay_case import API_KEY, RelayCase, make_answer

OTHER_KEY = "other"


class InvalidNameTest(RelayCase):
    """The organisation's name is not valid in a header."""

    scenarios = [("line_feed", {"name": "a\nb"}), ("blank", {"name": " a"})]

    def test_targets_stay_reachable(self) -> None:
        """The request is refused, and its targets go on to serve the others."""

        async def scenario() -> None:
            organisations = (
                Organisation(self.name, (API_KEY,), None, False),
                Organisation("other", (OTHER_KEY,), None, False),
            )
            self.change_configuration(organisations=organisations)
            status, *_ = await self.send_request("once")
            self.assertEqual(503, status)
            self.assertEqual([0, 0], self.count_requests())
            for target in self.services.dispatcher.catalog.get_targets("shop"):
                self.assertFalse(
                    self.services.statistics.is_possibly_unreachable(target)
                )
            status, *_ = await self.send_request("once", key=OTHER_KEY)
            self.assertEqual(200, status)

        self.run_relay([[make_answer()], [make_answer()]], scenario)
