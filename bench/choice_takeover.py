"""Measures the cost of replacing a broker, after a crash or by an orderly handover.

Run ``python -m bench.choice_takeover``. The broker is replaced every five seconds.
Releases of earlier grants reach the new broker, since entries send them to the current
one. In the rows with ``flood``, the new broker treats all slots as free at once.
"""

from bench.choice import DEADLINE_SECONDS, NEAR_DELAYS_SECONDS
from bench.choice_model import Case, Model
from bench.choice_ways import BrokerStrategy
from citronspan.core.brokering import broker_target_usage

REQUESTS = 20_000
REPLACE_INTERVAL_SECONDS = 5.0
RAMP_SECONDS = broker_target_usage.USAGE_RAMP_SECONDS
SHAPES = (("shop catalogue", 10, 6, 36), ("turret catalogue", 9, 2, 32))
REPLACEMENTS = (
    ("never", 0.0, False, RAMP_SECONDS),
    ("handover", REPLACE_INTERVAL_SECONDS, True, RAMP_SECONDS),
    ("death", REPLACE_INTERVAL_SECONDS, False, RAMP_SECONDS),
    ("death, flood", REPLACE_INTERVAL_SECONDS, False, 0.0),
)


def measure(case, replacement) -> str:
    """Run one kind of replacement on one case.

    Args:
        case: The case.
        replacement: One of ``REPLACEMENTS``: its name, the interval in seconds, whether
            the old broker sends a handover, and the seconds over which the new broker
            ramps up its use of the slots.

    Returns:
        A row of the table in Markdown.
    """
    name, replace_seconds, hands_over, ramp_seconds = replacement
    broker_target_usage.USAGE_RAMP_SECONDS = ramp_seconds

    def make_strategy(model):
        return BrokerStrategy(
            model=model,
            delays=NEAR_DELAYS_SECONDS,
            replace_seconds=replace_seconds,
            hands_over=hands_over,
        )

    model = Model(case=case)
    model.run(make_strategy)
    takeovers = int(model.now / replace_seconds) if replace_seconds else 0
    sheds = model.sheds / takeovers if takeovers else 0.0
    unserved = case.requests - model.served
    return (
        f"| {case.name} | {case.load:.0%} | {name} | {takeovers} | {sheds:.2f}"
        f" | {unserved} of {case.requests} |"
    )


def main() -> None:
    """Run every kind of replacement on every case and print the rows."""
    print("| shape | load | replaced by | takeovers | sheds/takeover | unserved |")
    print("|---|---|---|---|---|---|")
    for name, targets, slots, entries in SHAPES:
        for load in (0.5, 0.8):
            case = Case(
                name=name,
                targets=targets,
                slots=slots,
                entries=entries,
                load=load,
                deadline_seconds=DEADLINE_SECONDS,
                requests=REQUESTS,
            )
            for replacement in REPLACEMENTS:
                print(measure(case, replacement))


if __name__ == "__main__":
    main()
