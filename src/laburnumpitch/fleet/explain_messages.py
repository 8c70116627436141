"""Messages that ask a coordinator what it would choose, without a placement."""

from __future__ import annotations

from msgspec import field

from ..transport.codec import Message
from .messages import PlaceCall


class TargetExplanation(Message):
    """What a node knows of a target, and whether it may get a request."""

    target_id: str
    data_centre: str
    region: str
    """Region of the data centre; empty if the node does not know it."""
    excluded_by: str
    """Reason for which the request cannot go there; empty for a candidate."""
    changed_age_s: float
    """Time since the node learnt of the last change of the target."""
    slots: int = 0
    running: float = 0.0
    """Requests at the target, as the node counts or estimates them."""
    pending_prefill_tokens: int = 0
    cost_s: float = 0.0
    """Cost of a candidate; the lowest is chosen."""
    cost_parts_s: dict[str, float] = field(default_factory=dict)
    """Parts of the cost that are not zero, by the state that causes them."""


class PlaceExplanation(Message):
    """The choice that a coordinator, or a node by itself, would make."""

    host: str
    contact_age_s: float
    """Time since the node was last in contact with the leader."""
    configuration_version: int
    targets: list[TargetExplanation]
    chosen_id: str
    """The chosen target; empty if no target has free capacity."""
    tied_ids: list[str]
    """Candidates of the same cost, between which chance decides."""
    is_sampled: bool = False
    """Whether only the preferred and some random candidates are compared, as nodes of
    a large fleet do without a coordinator."""
    blocked_by: str = ""
    """Reason for which the node sends nothing although targets have capacity."""


class ExplainPlace(Message):
    """Asks a service's coordinator which placement it would assign now."""

    call: PlaceCall
