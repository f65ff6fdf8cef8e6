"""State charts that are data: JSON files with states and transitions.

The ``transitions`` library reads and checks a chart once; stepping is then one
look-up in the table it made, because building a model of the library per request
costs more than the request's whole share of processor time.
"""

import json
from dataclasses import dataclass
from importlib import resources

from transitions import Machine


class UnknownTransitionError(Exception):
    """An event that a state of the chart does not take."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StateChart:
    """A checked chart.

    Attributes:
        name: Name of the chart.
        initial: State that a new instance is in.
        states: All states.
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
        The checked chart.

    Raises:
        ValueError: If a transition names an unknown state or stands twice.
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
            step = (transition.source, trigger)
            if step in next_state_by_transition:
                raise ValueError(f"{name}: {step} stands twice")
            next_state_by_transition[step] = transition.dest
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
        UnknownTransitionError: If the state does not take the event.
    """
    target = chart.next_state_by_transition.get((state, event))
    if target is None:
        raise UnknownTransitionError(f"{chart.name}: no {event!r} from {state!r}")
    return target


def accepts_event(chart: StateChart, state: str, event: str) -> bool:
    """Return whether a state takes an event."""
    return (state, event) in chart.next_state_by_transition
