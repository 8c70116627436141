"""Nodes' notices about targets, as the leader handles them."""

from __future__ import annotations

from ..logging import get_logger
from .fleet_publisher import FleetPublisher
from .messages import TargetLeaving, TargetUnreachable

UNREACHABLE_INTERVALS = 1.2
"""Announcement intervals without an announcement after which a single node's report
is enough to mark a target as unreachable."""


def handle_target_unreachable(
    publisher: FleetPublisher, notice: TargetUnreachable
) -> None:
    """Mark a target that a node cannot reach and that has not announced itself.

    Raises:
        NotLeaderError: If this node does not lead.
    """
    publisher.check_term()
    entry = publisher.targets.entries.get(notice.target_id)
    if entry is None:
        return
    since_last_seen_s = publisher.get_time_s() - entry.last_seen_s
    if since_last_seen_s < publisher.announce_interval_s * UNREACHABLE_INTERVALS:
        return
    if publisher.targets.mark_not_announcing(notice.target_id):
        log = get_logger()
        log.info(
            "target_unreachable",
            target=notice.target_id,
            silence_s=round(since_last_seen_s, 2),
        )
        publisher.notify_change()


def handle_target_leaving(publisher: FleetPublisher, notice: TargetLeaving) -> None:
    """Mark a target's incarnation that said in an answer that it is leaving.

    Raises:
        NotLeaderError: If this node does not lead.
    """
    publisher.check_term()
    if publisher.targets.restore(notice.target_id, publisher.get_time_s()):
        publisher.notify_change()
    entry = publisher.targets.entries.get(notice.target_id)
    if entry is None or entry.record.born_ms != notice.born_ms:
        return
    if publisher.targets.update(notice.target_id, has_said_leaving=True):
        log = get_logger()
        log.info("target_said_leaving", target=notice.target_id)
        publisher.notify_change()
