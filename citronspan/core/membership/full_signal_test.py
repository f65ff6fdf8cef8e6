"""Tests when an entry is left out of the directory."""

from freezegun import freeze_time

from citronspan.core.membership.full_signal import MINIMUM_RAISED_SECONDS, FullSignal
from citronspan.core.requests.link_room import LinkRoom


def test_signal_rises_too_late_or_falls_too_early():
    signal = FullSignal(threads=64, room=LinkRoom(bytes_per_second=0.0))
    with freeze_time() as clock:
        assert not signal.update(47)
        assert signal.update(48)
        clock.tick(MINIMUM_RAISED_SECONDS - 1)
        assert signal.update(0)
        clock.tick(1)
        assert signal.update(17)
        assert not signal.update(16)


def test_full_link_leaves_the_entry_in_the_directory():
    room = LinkRoom(bytes_per_second=1e6)
    signal = FullSignal(threads=64, room=room)
    passage = room.admit("upload", 600_000, 10.0)
    with freeze_time() as clock:
        assert signal.update(1)
        passage.end(None)
        clock.tick(MINIMUM_RAISED_SECONDS)
        assert not signal.update(0)
