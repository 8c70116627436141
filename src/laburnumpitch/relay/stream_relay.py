"""Delivers the events of a stream to a client, from one target after another."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

from ..errors import TargetError
from ..transport.http_client import HttpAnswer
from ..transport.http_server import Headers, Responder
from .event_stream import EventSplitter


class StreamRelay:
    """One stream to a client.

    Args:
        responder: Sends the answer to the client.
        is_resumable: Whether another target may go on after a complete event; only
            complete events are sent then.
    """

    def __init__(self, responder: Responder, is_resumable: bool) -> None:
        self.responder = responder
        self.is_resumable = is_resumable
        self.splitter = EventSplitter()
        self.on_start: Callable[[], None] = lambda: None
        """Called right before the head of the answer is sent."""

    @property
    def last_event_id(self) -> str:
        """Identifier of the last event that was sent; empty before the first."""
        return self.splitter.last_event_id

    def discard_pending(self) -> None:
        """Discard the incomplete event of a target that failed."""
        self.splitter.discard_pending()

    async def deliver(
        self, answer: HttpAnswer, headers: Headers
    ) -> AsyncIterator[None]:
        """Send a target's events; yield after each part that has a new event.

        Comments and fields without an identifier are sent, but are no sign that a
        resumable stream goes on.

        Raises:
            TargetError: If the stream breaks before its end, ends inside an event, or
                has no events and no marked end.
        """
        has_data = False
        async for data in answer.iterate_body():
            has_data = True
            last_event_id = self.last_event_id
            complete_events = self.splitter.feed(data)
            await self.responder.hold(len(self.splitter.pending))
            part = complete_events if self.is_resumable else data
            if part:
                await self.start(answer.status, headers)
                await self.responder.write(part)
            if not self.is_resumable or self.last_event_id != last_event_id:
                yield
        if not has_data and not answer.is_framed:
            # A target that stops behind its head looks the same.
            raise TargetError("the stream ended before its first event", has_died=True)
        if self.splitter.pending.strip():
            raise TargetError("the stream ended inside an event", has_died=True)
        await self.start(answer.status, headers)
        await self.responder.finish()

    def close(self) -> None:
        """Refer no more to the run of the request."""
        self.on_start = lambda: None

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer, unless it was sent."""
        if not self.responder.has_started:
            self.on_start()
            await self.responder.start(status, headers)
