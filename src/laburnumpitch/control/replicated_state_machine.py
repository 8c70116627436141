"""What the replicated log needs of a state machine."""

from __future__ import annotations

from typing import Any, Protocol


class ReplicatedStateMachine(Protocol):
    """State machine that the replicated log drives."""

    state: Any

    def apply(self, command: Any) -> Any:
        """Apply one committed command and return its result."""

    def dump(self) -> bytes:
        """Return the serialised state."""
