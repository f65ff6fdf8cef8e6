"""Tests the record storage of the log stand-in and the host list's lag."""

from freezegun import freeze_time
from hypothesis import given, strategies as st

from citronspan_standins.host_list import (
    HostListService,
    HostListSwitches,
    ListedHost,
)
from citronspan_standins.log_service import LogStore, LogSwitches

STEPS = st.lists(
    st.one_of(
        st.binary(max_size=3),
        st.tuples(st.integers(0, 30), st.integers(0, 9)),
        st.builds(LogSwitches, retain_records=st.integers(1, 8)),
    ),
    max_size=60,
)


@given(steps=STEPS)
def test_reads_match_a_list_model(steps):
    store = LogStore(switches=LogSwitches())
    appended = []
    first = 0
    for step in steps:
        if isinstance(step, bytes):
            appended.append(step)
            assert store.append(step) == len(appended) - 1
        elif isinstance(step, LogSwitches):
            store.replace_switches(step)
        else:
            start, limit = step
            answer = store.read(start, limit, 0.0)
            assert (answer.first, answer.next) == (
                max(first, len(appended) - store.switches.retain_records),
                len(appended),
            )
            data = [record.data for record in answer.records]
            expected = appended[start : start + limit] if start >= answer.first else []
            assert data == expected
        first = max(first, len(appended) - store.switches.retain_records)


def test_records_expire_after_the_retention_time():
    with freeze_time() as clock:
        store = LogStore(switches=LogSwitches(retain_seconds=10))
        store.append(b"a")
        clock.tick(11)
        store.append(b"b")
        assert [record.offset for record in store.read(1, 9, 0).records] == [1]
        assert store.read(0, 9, 0).first == 1


def test_host_list_shows_changes_after_the_lag():
    host = ListedHost(name="t-1", address="127.0.2.1:9000", role="target")
    with freeze_time() as clock:
        service = HostListService(switches=HostListSwitches())
        service._replace_switches(HostListSwitches(hosts=(host,), lag_seconds=5))
        assert service.get_visible_hosts() == ()
        clock.tick(6)
        assert service.get_visible_hosts() == (host,)
