"""Messages about requests, and pieces of prompts, that crash targets."""

from __future__ import annotations

from msgspec import field

from ..transport.codec import Message


class TargetDied(Message):
    """Reports that a target died while it had a request."""

    fingerprint: str
    """The request; empty if it cannot be the cause."""
    target_id: str
    born_ms: int
    pieces: list[str] = field(default_factory=list)
    """The prompt's shared pieces that may be the cause, in sequence."""


class PastDeath(Message):
    """The death of a target that a node has reported before."""

    notice: TargetDied
    age_s: float
    """Time since the node found it."""


class PastDeaths(Message):
    """Reports to a new leader what a node had reported to former ones."""

    deaths: list[PastDeath]


class PiecesCompleted(Message):
    """Reports that a target has completed an answer on suspect pieces."""

    pieces: list[str]


class RequestCompleted(Message):
    """Reports that a target has answered a suspect request."""

    fingerprint: str
