"""Tests when requests go to another region, against asking it each time."""

from freezegun import freeze_time
from hypothesis import given, strategies as st

from citronspan.core.brokering.overflow import (
    FIRST_PAUSE_SECONDS,
    LARGE_BODY_BYTES,
    MAXIMUM_PAUSE_SECONDS,
    Overflow,
    RegionStep,
)

ROOM_AT_SECONDS = 8.0
REQUEST_SECONDS = 0.05
REQUESTS = 320


class AlwaysAsk:
    """The order before: home, the other region each time, home again."""

    def plan(self, regions, **_):
        home, other = regions
        return [
            RegionStep(region=home, has_other_region=True),
            RegionStep(region=other),
            RegionStep(region=home),
        ]

    def observe(self, region, **_):
        pass


def plan(overflow, **changes) -> list[str]:
    values = {
        "service": "s",
        "is_retry": False,
        "body_bytes": 0,
        "remaining_seconds": 2.0,
        **changes,
    }
    return [step.region for step in overflow.plan(["west", "east"], **values)]


def observe(overflow, *, is_granted, region="east", seconds=0.03, is_retry=False):
    overflow.observe(
        region,
        service="s",
        is_retry=is_retry,
        is_granted=is_granted,
        seconds=seconds,
    )


def replay_wave(overflow) -> tuple[int, int, float]:
    """Replay a region that has room for others only after the wave has left it.

    Returns:
        Questions in vain, requests moved, and the time of the first one moved.
    """
    in_vain = moved = 0
    first_moved_at = float("inf")
    with freeze_time() as clock:
        for number in range(REQUESTS):
            now = number * REQUEST_SECONDS
            steps = overflow.plan(
                ["west", "east"],
                service="s",
                is_retry=False,
                body_bytes=0,
                remaining_seconds=2.0,
            )
            for step in steps:
                if step.region == "west":
                    if not step.has_other_region:
                        break
                    continue
                has_room = now >= ROOM_AT_SECONDS
                observe(overflow, is_granted=has_room)
                if has_room:
                    moved += 1
                    first_moved_at = min(first_moved_at, now)
                    break
                in_vain += 1
            clock.tick(REQUEST_SECONDS)
    return in_vain, moved, first_moved_at


def test_wave_is_asked_in_vain_or_its_room_found_late():
    before = replay_wave(AlwaysAsk())
    after = replay_wave(Overflow(region="west"))
    assert before == (160, 160, ROOM_AT_SECONDS)
    assert after[0] <= before[0] / 16
    assert after[2] <= ROOM_AT_SECONDS + MAXIMUM_PAUSE_SECONDS
    assert after[1] >= 0.75 * before[1]


def test_several_requests_ask_after_a_pause():
    overflow = Overflow(region="west")
    with freeze_time() as clock:
        assert plan(overflow) == ["west", "east", "west"]
        observe(overflow, is_granted=False)
        assert plan(overflow) == ["west", "east"]
        assert plan(overflow, is_retry=True) == ["west", "east", "west"]
        observe(overflow, is_granted=False, is_retry=True)
        assert plan(overflow, is_retry=True) == ["west"]
        clock.tick(FIRST_PAUSE_SECONDS - 0.01)
        assert plan(overflow) == ["west", "east"]
        clock.tick(0.02)
        assert plan(overflow) == ["west", "east", "west"]
        assert plan(overflow) == ["west", "east"]
        observe(overflow, is_granted=True)
        assert plan(overflow) == ["west", "east", "west"]
        assert plan(overflow) == ["west", "east", "west"]


def test_request_crosses_that_cannot_afford_the_way():
    overflow = Overflow(region="west")
    observe(overflow, is_granted=True, seconds=0.06)
    assert plan(overflow, remaining_seconds=0.1) == ["west"]
    assert plan(overflow, remaining_seconds=0.2) == ["west", "east", "west"]
    assert plan(overflow, body_bytes=LARGE_BODY_BYTES) == ["west"]


def test_region_without_targets_is_asked():
    overflow = Overflow(region="north")
    assert plan(overflow) == ["west", "east"]


@given(
    answers=st.lists(
        st.tuples(st.booleans(), st.booleans(), st.floats(0.0, 3.0)), max_size=60
    )
)
def test_request_is_refused_without_asking_each_region(answers):
    overflow = Overflow(region="west")
    with freeze_time() as clock:
        for is_granted, is_retry, seconds in answers:
            observe(overflow, is_granted=is_granted, is_retry=is_retry)
            clock.tick(seconds)
            steps = plan(overflow)
            assert steps[0] == "west"
            assert "east" in steps
