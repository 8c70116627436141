"""Splits a stream into whole events, so that it can go on elsewhere."""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Holds back the part of an event that has arrived so far."""

    def __init__(self) -> None:
        self.pending = b""
        self.last_event_id = ""
        """Identifier of the newest whole event."""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that a further part completes."""
        self.pending += data
        end = self.pending.rfind(EVENT_END)
        if end < 0:
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
        """Drop a part of an event that will come again."""
        self.pending = b""
