"""The fleet's replicated state: configuration, weights, builds and evacuations."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..policy.context_sharing import ContextSharing
from ..policy.evacuation import Evacuations
from .evacuation_messages import StoreEvacuation
from .messages import StoreBuilds, StoreConfiguration, StoreWeights


@dataclass
class State:
    """Contents of a snapshot."""

    configuration_version: int = 0
    configuration: bytes = b""
    """Text of the newest configuration, compressed; empty before the first one."""
    weights: dict[str, int] = field(default_factory=dict)
    """Desired weight version by model, as operators set it."""
    context_epoch: int = 0
    """Epoch of shared kept context."""
    context_sharers: list[str] | None = None
    """Organisations that have shared context in this epoch; None if not known."""
    builds: dict[str, dict[str, bool]] = field(default_factory=dict)
    """Builds of each service that may have begun a stream, or may soon; and whether
    streams may begin on them."""
    evacuated: list[str] = field(default_factory=list)
    """Evacuated data centres, sorted."""
    evacuation_revisions: dict[str, int] = field(default_factory=dict)
    """Number of changes of each data centre's evacuation."""

    @property
    def evacuations(self) -> Evacuations:
        """The evacuations as the policy needs them."""
        return Evacuations(frozenset(self.evacuated), self.evacuation_revisions)


class FleetState:
    """State machine on the replicated log; deterministic.

    Args:
        data: A snapshot from `dump`, or empty.
    """

    def __init__(self, data: bytes = b"") -> None:
        self.state = msgspec.msgpack.decode(data, type=State) if data else State()

    def dump(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode(self.state)

    def apply(self, command: Any) -> int:
        """Apply one committed command and return its result.

        For configurations and weights, it is the version in force.
        """
        if isinstance(command, StoreConfiguration):
            return self.on_store_configuration(command)
        if isinstance(command, StoreWeights):
            return self.on_store_weights(command)
        if isinstance(command, StoreBuilds):
            return self.on_store_builds(command)
        if isinstance(command, StoreEvacuation):
            return self.on_store_evacuation(command)
        raise TypeError(f"unknown command {type(command).__name__}")

    def on_store_configuration(self, command: StoreConfiguration) -> int:
        """Store a configuration if its version is the highest so far."""
        state = self.state
        if command.version > state.configuration_version or not state.configuration:
            self.update_context_sharing(command)
            state.configuration_version = command.version
            state.configuration = command.packed
        return state.configuration_version

    def update_context_sharing(self, command: StoreConfiguration) -> None:
        """Begin a new epoch of shared context if a configuration requires it."""
        state = self.state
        sharers = state.context_sharers
        if sharers is not None:
            sharing = ContextSharing(state.context_epoch, frozenset(sharers))
        elif state.configuration:
            sharing = ContextSharing(state.context_epoch, None)
        else:
            sharing = ContextSharing()
        if command.sharing is None or command.isolated is None:
            sharing = sharing.forget()
        else:
            sharing = sharing.apply(command.version, command.sharing, command.isolated)
        state.context_epoch = sharing.epoch
        known = sharing.sharers
        state.context_sharers = None if known is None else sorted(known)

    def on_store_weights(self, command: StoreWeights) -> int:
        """Store a weight version if it is the model's highest so far."""
        known_version = self.state.weights.get(command.model, 0)
        self.state.weights[command.model] = max(known_version, command.version)
        return self.state.weights[command.model]

    def on_store_builds(self, command: StoreBuilds) -> int:
        """Replace the builds of a service, and return their number."""
        builds = self.state.builds
        if command.builds:
            builds[command.service] = dict(command.builds)
        else:
            builds.pop(command.service, None)
        return len(command.builds)

    def on_store_evacuation(self, command: StoreEvacuation) -> int:
        """Change a data centre's evacuation unless a newer change was made.

        Returns:
            The revision if the state is as ordered now; 0 if a newer change ordered the
            contrary.
        """
        state, name = self.state, command.data_centre
        evacuations = state.evacuations.apply(
            name, command.is_evacuated, command.base_revision
        )
        state.evacuated = sorted(evacuations.evacuated)
        state.evacuation_revisions = dict(evacuations.revisions)
        if not evacuations.is_as_ordered(name, command.is_evacuated):
            return 0
        return evacuations.get_revision(name)
