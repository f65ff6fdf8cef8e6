"""Tests the room on a host's link, and replays a burst without it."""

import heapq

from hypothesis import given, strategies as st

from citronspan.core.requests.link_room import LARGE_BYTES, LinkRoom

RATE = 10e6 / 8
GOAL_SECONDS = 1.5
LARGE_ANSWER_BYTES = 540_000


def learn(room, kind, answer_bytes):
    room.admit(kind, 0, 10.0).end(answer_bytes)


def replay_burst(room: LinkRoom | None, count=40) -> tuple[int, int, int]:
    """Replay requests with large answers, 20 a second, over one link in order.

    Returns:
        Numbers of answers in time, late answers and refusals.
    """
    in_time = late = refused = 0
    link_free_at = 0.0
    ends: list[tuple[float, int, object]] = []
    for number in range(count):
        now = number * 0.05
        while ends and ends[0][0] <= now:
            heapq.heappop(ends)[2].end(LARGE_ANSWER_BYTES)
        passage = None
        if room is not None:
            passage = room.admit("report", 0, GOAL_SECONDS)
            if passage is None:
                refused += 1
                continue
        link_free_at = max(link_free_at, now) + LARGE_ANSWER_BYTES / RATE
        if link_free_at <= now + GOAL_SECONDS:
            in_time += 1
        else:
            late += 1
        if passage is not None:
            heapq.heappush(ends, (link_free_at, number, passage))
    return in_time, late, refused


def test_burst_is_late_as_a_whole_or_refused_without_need():
    room = LinkRoom(bytes_per_second=RATE)
    learn(room, "report", LARGE_ANSWER_BYTES)
    before = replay_burst(None)
    after = replay_burst(room)
    assert before == (3, 37, 0)
    assert after[0] >= 2 * before[0]
    assert after[1] == 0


@given(
    kinds=st.lists(st.sampled_from(["a", "b"])),
    sizes=st.lists(st.integers(0, 10**9), min_size=1),
)
def test_link_that_is_not_stated_refuses(kinds, sizes):
    room = LinkRoom(bytes_per_second=0.0)
    for number, kind in enumerate(kinds):
        passage = room.admit(kind, 10**9, 0.0)
        assert passage is not None
        if number % 2:
            passage.end(sizes[number % len(sizes)])
    assert not room.is_full


def test_small_answers_are_refused():
    room = LinkRoom(bytes_per_second=RATE)
    learn(room, "list", LARGE_BYTES // 2)
    passages = [room.admit("list", 0, 0.01) for _ in range(500)]
    assert all(passages)
    assert room.is_full


def test_bytes_stay_under_way_after_the_end():
    room = LinkRoom(bytes_per_second=RATE)
    learn(room, "report", LARGE_ANSWER_BYTES)
    passages = [room.admit("report", 0, 10.0) for _ in range(5)]
    assert room.is_full
    for passage in passages:
        passage.end(None)
        passage.end(None)
    assert room.find_drain_seconds() == 0.0
