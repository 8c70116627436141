"""One request of a soak's client and its outcome."""

from __future__ import annotations

import re
from dataclasses import dataclass

EVENT_ID_PATTERN = re.compile(rb"^id: (\d+)$", re.MULTILINE)


@dataclass
class RequestRecord:
    """One request of a client and its outcome."""

    attempt: str
    """Unique identifier, which targets record with each arrival."""
    route: str
    organisation: str
    host: str
    process_id: int
    """Process of the node when the request was sent."""
    sent_s: float
    introduced_version: int
    """Configuration version that added the route or key it uses; 0 for neither."""
    is_new_connection: bool
    begun_by: str = ""
    """Attempt that received the first event of a stream that this one takes up."""
    after: int = 0
    """Number of the last event of the stream that earlier attempts received."""
    status: int = 0
    """HTTP status; 0 without a complete answer."""
    body: bytes = b""
    """What was received, also of an incomplete answer."""
    seal: str = ""
    """Value of the answer's `server-seal` header, unique to a run at a target."""
    ended_s: float = float("inf")
    has_disconnected: bool = False
    is_interrupted: bool = False
    """Whether the connection ended before a complete answer."""
    was_connected: bool = False
    """Whether the request was sent on an open connection."""

    @property
    def is_take_up(self) -> bool:
        """Whether it takes up a stream that another attempt began."""
        return bool(self.begun_by)

    @property
    def stream(self) -> str:
        """Attempt that received the first event of the stream, maybe this one."""
        return self.begun_by or self.attempt

    @property
    def complete_events(self) -> bytes:
        """The complete events that were received; an incomplete one is left out."""
        complete, end, _ = self.body.rpartition(b"\n\n")
        return complete + end

    @property
    def goes_on(self) -> bool:
        """Whether a stream begins or goes on, or is answered as complete."""
        return self.status == 200 or bool(self.complete_events)

    @property
    def event_numbers(self) -> list[int]:
        """Numbers of the complete events that were received."""
        return [int(n) for n in EVENT_ID_PATTERN.findall(self.complete_events)]

    @property
    def last_event(self) -> int:
        """Number of the last event received by this and the earlier attempts."""
        return max([self.after, *self.event_numbers])
