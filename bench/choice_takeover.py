"""What the replacement of a broker costs, by death or by an orderly handover.

Run: ``python -m bench.choice_takeover``. The broker is replaced every five seconds;
releases of earlier grants reach the new one, as entries send them to the broker of
the moment. ``flood`` is a new broker that takes all slots as free at once.
"""

from bench.choice import DEADLINE_SECONDS, NEAR_SECONDS
from bench.choice_model import Case, Model
from bench.choice_ways import BrokerChoice
from citronspan.core import broker_target_usage

REQUESTS = 20_000
REPLACE_SECONDS = 5.0
UNKNOWN_SECONDS = broker_target_usage.USAGE_RAMP_SECONDS
SHAPES = (("shop catalogue", 10, 6, 36), ("turret catalogue", 9, 2, 32))
WAYS = (
    ("never", 0.0, False, UNKNOWN_SECONDS),
    ("handover", REPLACE_SECONDS, True, UNKNOWN_SECONDS),
    ("death", REPLACE_SECONDS, False, UNKNOWN_SECONDS),
    ("death, flood", REPLACE_SECONDS, False, 0.0),
)


def measure(case, way) -> str:
    """Run one way on one case and return a row of the table."""
    name, replace_seconds, hands_over, unknown_seconds = way
    broker_target_usage.USAGE_RAMP_SECONDS = unknown_seconds

    def make(model):
        return BrokerChoice(
            model=model,
            delays=NEAR_SECONDS,
            replace_seconds=replace_seconds,
            hands_over=hands_over,
        )

    model = Model(case=case)
    model.run(make)
    takeovers = int(model.now / replace_seconds) if replace_seconds else 0
    sheds = model.sheds / takeovers if takeovers else 0.0
    unserved = case.requests - model.served
    return (
        f"| {case.name} | {case.load:.0%} | {name} | {takeovers} | {sheds:.2f}"
        f" | {unserved} of {case.requests} |"
    )


def main() -> None:
    """Measure and print."""
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
            for way in WAYS:
                print(measure(case, way))


if __name__ == "__main__":
    main()
