"""Interpreter for the state charts in `charts/`."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from importlib import resources

from .errors import TransitionError


@dataclass(frozen=True)
class StateChart:
    """The states of a lifecycle and the events that cause transitions."""

    name: str
    """File name without its extension."""
    initial_state: str
    """State of a new machine."""
    final_states: frozenset[str]
    """States without transitions."""
    transitions: dict[tuple[str, str], str]
    """Next state by (state, event)."""

    def get_next_state(self, state: str, event: str) -> str:
        """Return the state after an event.

        Raises:
            TransitionError: If the chart has no such transition.
        """
        next_state = self.transitions.get((state, event))
        if next_state is None:
            raise TransitionError(f"{self.name}: no {event!r} in state {state!r}")
        return next_state


class StateMachine:
    """One instance of a chart.

    Args:
        chart: States and transitions.
    """

    def __init__(self, chart: StateChart) -> None:
        self.chart = chart
        self.state = chart.initial_state

    def fire(self, event: str) -> str:
        """Apply an event and return the new state.

        Raises:
            TransitionError: If the chart has no such transition.
        """
        self.state = self.chart.get_next_state(self.state, event)
        return self.state


def load_chart(name: str) -> StateChart:
    """Read a chart from the package's data files.

    Args:
        name: File name without `.toml`.
    """
    text = resources.files(__package__).joinpath("charts", f"{name}.toml").read_text()
    data = tomllib.loads(text)
    transitions = {}
    for state, events in data["states"].items():
        for event, next_state in events.items():
            transitions[(state, event)] = next_state
    final_states = frozenset(
        state for state, events in data["states"].items() if not events
    )
    return StateChart(name, data["initial"], final_states, transitions)
