"""Nothing refers to a request after its end, so that no garbage collection is needed.

Collections are rare, and errors with their tracebacks kept requests and answers of
several MB each alive until the next one.
"""

from __future__ import annotations

import asyncio
import gc

from laburnumpitch.errors import TargetError
from laburnumpitch.relay.relay_run import RelayRun

from ..transport.endless_answers import ENDLESS_ANSWERS
from .relay_case import Crash, RelayCase, make_answer

SETTLE_S = 0.2
"""Time for what follows an answer, such as the close of its connections."""

CHUNKS = ENDLESS_ANSWERS["chunks"]


class ReleasedRequestTest(RelayCase):
    """Requests that end in several ways."""

    scenarios = [
        ("answered", {"route": "once", "answers": [make_answer()]}),
        ("target_died", {"route": "once", "answers": [Crash()]}),
        ("no_end", {"route": "once", "answers": [CHUNKS]}),
        ("no_end_of_both", {"route": "read", "answers": [CHUNKS]}),
        ("stream_without_end", {"route": "stream", "answers": [CHUNKS]}),
        ("no_route", {"route": "none", "answers": []}),
    ]

    def test_nothing_is_kept(self) -> None:
        """No run of a request is alive."""

        async def scenario() -> None:
            gc.collect()
            gc.disable()
            try:
                await self.send_request(self.route)
            except TargetError:
                pass
            await asyncio.sleep(SETTLE_S)
            alive = [item for item in gc.get_objects() if isinstance(item, RelayRun)]
            self.assertEqual([], [run.route.name for run in alive])

        self.addCleanup(gc.enable)
        self.run_relay([self.answers, self.answers], scenario)
