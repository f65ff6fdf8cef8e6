"""Tests when an entry is left out of the directory."""

from freezegun import freeze_time

from citronspan.core.brokering.full_signal import MINIMUM_RAISED_SECONDS, FullSignal


def test_signal_rises_too_late_or_falls_too_early():
    signal = FullSignal(threads=64)
    with freeze_time() as clock:
        assert not signal.update(47)
        assert signal.update(48)
        clock.tick(MINIMUM_RAISED_SECONDS - 1)
        assert signal.update(0)
        clock.tick(1.1)
        assert signal.update(17)
        assert not signal.update(16)


def test_full_link_leaves_the_entry_in_the_directory():
    signal = FullSignal(threads=64)
    with freeze_time() as clock:
        assert signal.update(1, is_link_full=True)
        clock.tick(MINIMUM_RAISED_SECONDS + 0.1)
        assert not signal.update(0)
