"""Splits an event stream at event boundaries, so that another target can resume it."""

from __future__ import annotations

from ..errors import MalformedAnswerError

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of one event."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Passes on complete events and buffers the incomplete one at the end."""

    def __init__(self) -> None:
        self.pending = b""
        self.last_event_id = ""
        """Identifier of the last complete event that has one."""

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that are complete now.

        Raises:
            MalformedAnswerError: If an event is larger than `MAX_EVENT_BYTES`.
        """
        self.pending += data
        end = self.pending.rfind(EVENT_END)
        if end < 0:
            if len(self.pending) > MAX_EVENT_BYTES:
                raise MalformedAnswerError("an event of the stream is too large")
            return b""
        complete = self.pending[: end + len(EVENT_END)]
        self.pending = self.pending[end + len(EVENT_END) :]
        for line in reversed(complete.split(b"\n")):
            if line.startswith(ID_FIELD):
                value = line[len(ID_FIELD) :].strip()
                self.last_event_id = value.decode("latin-1")
                break
        return complete

    def discard_pending(self) -> None:
        """Discard the incomplete event, which the next target sends again."""
        self.pending = b""
