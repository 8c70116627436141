"""Messages about the evacuation of data centres."""

from __future__ import annotations

from ..transport.codec import Message


class ReadEvacuation(Message):
    """Asks the leader for the revision of a data centre's evacuation."""

    data_centre: str


class PutEvacuation(Message):
    """Asks the leader to change a data centre's evacuation."""

    data_centre: str
    is_evacuated: bool
    base_revision: int
    """Revision that the node read when it received the operator's call."""


class EvacuationAnswer(Message):
    """The revision of a data centre's evacuation, as the leader has it."""

    revision: int
    is_accepted: bool = True
    """Whether the change was made, or the state is as ordered; false if a newer change
    ordered the contrary."""


class StoreEvacuation(Message):
    """Log command: changes an evacuation unless a newer change was made."""

    data_centre: str
    is_evacuated: bool
    base_revision: int
    time_s: float = 0.0
