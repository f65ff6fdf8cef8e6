"""State charts defined in JSON files as states and transitions.

The ``transitions`` library parses and checks each chart once. A step is then a single
look-up in the resulting table, because creating a model of the library per request
costs more processor time than a request may use in total.
"""

import json
from dataclasses import dataclass
from importlib import resources

from transitions import Machine


class UnknownTransitionError(Exception):
    """Raised for an event that a state of the chart does not accept."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StateChart:
    """A validated state chart.

    Attributes:
        name: Name of the chart.
        initial: State of a new instance.
        states: Names of all states.
        next_state_by_transition: Next state by (state, event).
    """

    name: str
    initial: str
    states: frozenset[str]
    next_state_by_transition: dict[tuple[str, str], str]


def load_chart(name: str) -> StateChart:
    """Load ``core/statecharts/NAME.json``.

    Args:
        name: Name of the chart, without ``.json``.

    Returns:
        The validated chart.

    Raises:
        ValueError: If a transition names an unknown state or is defined twice.
    """
    folder = resources.files("citronspan.core") / "statecharts"
    data = json.loads((folder / f"{name}.json").read_text())
    machine = Machine(
        model=None,
        states=data["states"],
        transitions=data["transitions"],
        initial=data["initial"],
        auto_transitions=False,
    )
    next_state_by_transition = {}
    for transition in machine.get_transitions():
        for trigger, event in machine.events.items():
            if transition not in event.transitions[transition.source]:
                continue
            transition_key = (transition.source, trigger)
            if transition_key in next_state_by_transition:
                raise ValueError(
                    f"{name}: transition {transition_key} is defined twice"
                )
            next_state_by_transition[transition_key] = transition.dest
    return StateChart(
        name=name,
        initial=data["initial"],
        states=frozenset(data["states"]),
        next_state_by_transition=next_state_by_transition,
    )


def step_chart(chart: StateChart, state: str, event: str) -> str:
    """Return the state after an event.

    Args:
        chart: The chart.
        state: State before the event.
        event: Name of the event.

    Returns:
        The next state.

    Raises:
        UnknownTransitionError: If the state does not accept the event.
    """
    next_state = chart.next_state_by_transition.get((state, event))
    if next_state is None:
        raise UnknownTransitionError(
            f"{chart.name}: state {state!r} does not accept event {event!r}"
        )
    return next_state


def accepts_event(chart: StateChart, state: str, event: str) -> bool:
    """Return whether a state accepts an event."""
    return (state, event) in chart.next_state_by_transition
