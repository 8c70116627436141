"""Applies changed restrictions to requests that wait for a target."""

from __future__ import annotations

from ..errors import NoTargetError
from .request_queue import QueueKey, RequestQueue
from .target_catalog import TargetCatalog


def apply_restrictions(queue: RequestQueue, catalog: TargetCatalog) -> list[QueueKey]:
    """Move queued requests whose allowed regions have changed to their new queues.

    A restricted request that no target may serve any more fails at once.

    Returns:
        The queues that have got requests.
    """
    changed = []
    for queued in list(queue.requests):
        admitted = queued.admitted
        allowed_regions = catalog.region_rules.get_allowed_regions(admitted)
        if allowed_regions != queued.allowed_regions:
            queued.allowed_regions = allowed_regions
            changed.append(queued.key)
        if allowed_regions is not None and not catalog.has_other_target(
            admitted.service, queued.build, queued.excluded, allowed_regions
        ):
            catalog.region_rules.record_no_target(admitted, allowed_regions)
            queue.discard(queued)
            queued.fail(NoTargetError(f"{admitted.service} has no allowed target"))
    return changed
