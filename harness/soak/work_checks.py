"""Checks that targets do not go on to work on requests that nobody waits for."""

from __future__ import annotations

from collections import defaultdict

from standins.platform_target import Work

from ..history import Verdict
from .soak_history import FAULT_RECOVERY_S, SoakHistory

MAX_WORK_S = 0.5
"""Time after the client's answer, or after it has left, by which all work must end."""

DETECTION_S = 0.4
"""Time for which a busy machine may delay the record of an end."""


def check_work(history: SoakHistory) -> Verdict:
    """Check that all work on a request ends soon after its client has its answer.

    A fault of a node or a link may keep the end of a connection from a target.
    """
    verdict = Verdict("no_work_for_nobody")
    works: dict[str, list[Work]] = defaultdict(list)
    for work in history.journal.works:
        works[work.attempt].append(work)
    for record in history.records:
        if record.status != 200 and not record.has_disconnected:
            continue
        for work in works.get(record.attempt, ()):
            span_s = (record.sent_s, work.ended_s)
            has_fault = not history.is_fault_free(record.host, *span_s) or any(
                span_s[0] - FAULT_RECOVERY_S <= t <= span_s[1]
                for t in history.unplanned_fault_times_s
            )
            late_s = work.ended_s - record.ended_s
            if not has_fault:
                verdict.expect(
                    late_s <= MAX_WORK_S + DETECTION_S,
                    f"{record.attempt}: {work.target_id} works {late_s:.1f} s longer",
                )
    return verdict
