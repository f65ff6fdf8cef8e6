from dataclasses import dataclass

import freezegun
from hypothesis import given, strategies as st

from citronspan.core.detection import target_notices
from citronspan.core.detection.health import TargetInfo
from citronspan.core.detection.target_notices import (
    UNLISTED_INCARNATION,
    TargetNotices,
    UnusableReason,
)

NAMES = ("t-0", "t-1", "t-2")


@dataclass(frozen=True)
class Configuration:
    """The targets of a configuration, older ones included: name to its incarnation."""

    incarnation_by_name: dict[str, int]
    leaving: frozenset[str]


@dataclass(frozen=True)
class SaysLeaving:
    name: str
    incarnation: int


@dataclass(frozen=True)
class Refuses:
    name: str
    seconds: float


@dataclass(frozen=True)
class Wait:
    seconds: float


EVENTS = st.one_of(
    st.builds(
        Configuration,
        st.dictionaries(st.sampled_from(NAMES), st.integers(1, 3)),
        st.frozensets(st.sampled_from(NAMES)),
    ),
    st.builds(SaysLeaving, st.sampled_from(NAMES), st.integers(1, 3)),
    st.builds(Refuses, st.sampled_from(NAMES), st.sampled_from([0.0, 0.5, 4.0, 60.0])),
    st.builds(Wait, st.sampled_from([0.25, 1.0, 3.75, 600.0])),
)


def make_info(name, incarnation=1, *, leaving=False):
    return TargetInfo(
        name=name,
        address=f"{name}:1",
        region="r",
        data_centre="d",
        slots=1,
        incarnation=incarnation,
        leaving=leaving,
    )


class Oracle:
    """The two rules, applied to all that has happened so far."""

    def __init__(self):
        self.now = 0.0
        self.configuration = Configuration({}, frozenset())
        self.ever_listed = set()
        self.leaving, self.refusals = [], []

    def apply(self, event):
        if isinstance(event, Configuration):
            self.ever_listed |= set(event.incarnation_by_name)
            self.configuration = event
        elif isinstance(event, SaysLeaving):
            self.leaving.append((event.name, event.incarnation))
        elif isinstance(event, Refuses):
            self.refusals.append((event.name, self.now, event.seconds))
        else:
            self.now += event.seconds

    def may_use(self, name):
        present = self.configuration.incarnation_by_name.get(name)
        if any(
            name == refused and self.now < at + seconds
            for refused, at, seconds in self.refusals
        ):
            return False
        if present is None:
            return name not in self.ever_listed
        if name in self.configuration.leaving:
            return False
        return (name, present) not in self.leaving


def apply(notices, event, frozen):
    if isinstance(event, Configuration):
        notices.set_targets(
            make_info(name, incarnation, leaving=name in event.leaving)
            for name, incarnation in event.incarnation_by_name.items()
        )
    elif isinstance(event, SaysLeaving):
        notices.record_leaving(event.name, event.incarnation)
    elif isinstance(event, Refuses):
        notices.record_pause(event.name, event.seconds)
    else:
        frozen.tick(event.seconds)


@given(events=st.lists(EVENTS, max_size=30))
def test_target_is_used_against_its_word_or_passed_over_without_one(events):
    with freezegun.freeze_time("2026-01-01") as frozen:
        notices, oracle = TargetNotices(), Oracle()
        for event in events:
            apply(notices, event, frozen)
            oracle.apply(event)
            usable = {name for name in NAMES if notices.find_reason(name) is None}
            assert usable == {name for name in NAMES if oracle.may_use(name)}
            listed = set(oracle.configuration.incarnation_by_name)
            assert listed - notices.find_unusable() == listed & usable


def test_target_that_is_not_listed_yet_is_refused():
    notices = TargetNotices()
    notices.set_targets([make_info("t-0")])
    assert notices.find_reason("t-1") is None


def test_word_of_an_unlisted_target_is_forgotten():
    notices = TargetNotices()
    notices.record_leaving("t-1", notices.find_incarnation("t-1"))
    assert notices.find_reason("t-1") is UnusableReason.SAID_LEAVING
    notices.set_targets([make_info("t-1", 7)])
    assert notices.find_reason("t-1") is UnusableReason.SAID_LEAVING
    notices.set_targets([make_info("t-1", 8)])
    assert notices.find_reason("t-1") is None
    notices.record_leaving("t-1", UNLISTED_INCARNATION)
    assert notices.find_reason("t-1") is UnusableReason.SAID_LEAVING


def test_word_without_an_incarnation_is_passed_to_a_later_start():
    notices = TargetNotices()
    notices.set_targets([make_info("t-1", 0)])
    notices.record_leaving("t-1", notices.find_incarnation("t-1"))
    notices.set_targets([make_info("t-1", 1)])
    assert notices.find_reason("t-1") is None


def test_target_that_left_is_used_again_by_an_old_grant():
    with freezegun.freeze_time("2026-01-01") as frozen:
        notices = TargetNotices()
        notices.set_targets([make_info("t-0", 7), make_info("t-1", leaving=True)])
        notices.record_leaving("t-0", 7)
        notices.set_targets([])
        frozen.tick(600.0)
        assert notices.find_reason("t-0") is UnusableReason.REMOVED
        assert notices.find_reason("t-1") is UnusableReason.REMOVED


def test_notices_grow_without_bound(monkeypatch):
    monkeypatch.setattr(target_notices, "MAXIMUM_NOTICES", 3)
    notices = TargetNotices()
    notices.set_targets([make_info("t", incarnation) for incarnation in range(5)])
    for incarnation in range(5):
        assert notices.record_leaving("t", incarnation)
        notices.record_pause(f"t-{incarnation}", 60.0)
    assert notices.find_reason("t") is UnusableReason.SAID_LEAVING
    assert notices.record_leaving("t", 0)
    assert not notices.record_leaving("t", 4)
    assert notices.count_paused() == 3


def test_pause_that_ends_first_sets_when_a_request_may_come_back():
    with freezegun.freeze_time("2026-01-01") as frozen:
        notices = TargetNotices()
        targets = [make_info("t-0"), make_info("t-1"), make_info("t-2", leaving=True)]
        notices.set_targets(targets)
        assert notices.find_pause_seconds(targets) == 0.0
        notices.record_pause("t-0", 5.0)
        notices.record_pause("t-1", 3.0)
        notices.record_pause("t-2", 1.0)
        frozen.tick(1.0)
        assert notices.find_pause_seconds(targets) == 2.0


def test_target_leaves_twice_by_the_configuration():
    notices = TargetNotices()
    assert notices.set_targets([make_info("t-0")]) == []
    leaving = make_info("t-0", leaving=True)
    assert notices.set_targets([leaving]) == [leaving]
    assert notices.set_targets([leaving]) == []
    restarted = make_info("t-0", 2, leaving=True)
    assert notices.set_targets([restarted]) == [restarted]
