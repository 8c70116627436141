"""Proposals to a replica, and the futures of their results."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from .raft_messages import Member


@dataclass(frozen=True)
class Proposal:
    """A proposed command and the future of its result."""

    command: Any
    future: asyncio.Future[Any]
    proposed_at_s: float


@dataclass(frozen=True)
class MembershipProposal:
    """A proposed membership change; the future's result is whether it was appended."""

    members: list[Member]
    future: asyncio.Future[bool]

    def complete(self, is_appended: bool) -> None:
        """Set the result, if it is still waited for."""
        if not self.future.done():
            self.future.set_result(is_appended)


def fail_proposal(item: Any, error: Exception) -> None:
    """Fail a proposal; other inputs of a replica have nobody who waits for them."""
    if isinstance(item, (Proposal, MembershipProposal)):
        fail_future(item.future, error)


def fail_future(future: asyncio.Future[Any], error: Exception) -> None:
    """Fail a future, without a warning if nobody awaits it any more."""
    if not future.done():
        future.set_exception(error)
        future.exception()
