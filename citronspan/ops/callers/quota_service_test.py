"""Tests the admission of requests by services that answer each other."""

import threading
import time

import logbook
import pytest

from citronspan.core.accounts.quota_request import Decision
from citronspan.core.brokering.shards_test import make_node
from citronspan.core.resources import AccountSpec
from citronspan.core.settings import QuotaRules
from citronspan.ops.callers.quota_service import QuotaService

SPEC = AccountSpec(requests_per_second=0.01, burst_requests=8.0)


class Link:
    """Passes messages to other services at once, as far as their hosts are up."""

    def __init__(self, service_by_address, address):
        self.address = address
        self.incarnation = time.time_ns() // 1_000_000 << 8
        self.is_up = True
        self._service_by_address = service_by_address

    def send(self, to, message):
        service = self._service_by_address[to]
        if self.is_up and service.link.is_up:
            service.handle(self.address, self.incarnation, message)
        return True

    def send_all(self, outgoing):
        for item in outgoing:
            self.send(item.to, item.message)


class Service(QuotaService):
    def __init__(self, service_by_address, name, rules):
        self.link = Link(service_by_address, f"{name}:2")
        super().__init__(
            name=name,
            region="svea",
            link=self.link,
            rules=rules,
            find_spec=lambda account: SPEC,
        )


@pytest.fixture(params=[QuotaRules()])
def services(request):
    service_by_address = {}
    for name in ("n-0", "n-1", "n-2"):
        service = Service(service_by_address, name, request.param)
        service_by_address[service.link.address] = service
    services = list(service_by_address.values())
    nodes = [make_node(f"n-{number}") for number in range(len(services))]
    for service in services:
        # The view is as old as the buckets are to be full.
        service._seats.set_nodes(nodes)
        since, names = service._seats._views.pop()
        service._seats._views.append((since - 10_000.0, names))
    return services


def admit(service, seconds=2.0):
    return service.admit("shop", SPEC, time.monotonic() + seconds)


def test_hosts_together_admit_more_than_the_burst(services):
    waits = [admit(services[number % 3]) for number in range(12)]
    assert waits[:7] == [0.0] * 7
    assert all(wait > 0 for wait in waits[8:])


def test_threads_together_admit_more_than_the_burst(services):
    waits = []
    threads = [
        threading.Thread(target=lambda: waits.append(admit(services[0])))
        for _ in range(20)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert waits.count(0.0) == 8


def test_line_of_a_refusal_does_not_name_the_account_or_the_reason(services):
    for number in range(8):
        assert admit(services[number % 3]) == 0.0
    with logbook.TestHandler() as handler:
        for _ in range(3):
            assert admit(services[0]) > 0
    (record,) = handler.records
    assert record.extra["number"] == 285
    assert (record.extra["account"], record.extra["reason"]) == ("shop", "over-quota")
    assert services[0].count_by_decision[Decision.OVER_QUOTA] == 3


def test_host_that_reaches_no_keeper_waits_beyond_the_deadline(services):
    keepers = {services[0]._seats.find_keeper("shop", seat).name for seat in (0, 1)}
    service = next(item for item in services if item.link.address[:-2] not in keepers)
    service.link.is_up = False
    started_at = time.monotonic()
    assert admit(service, seconds=0.3) > 0
    assert time.monotonic() - started_at < 0.8
    assert service.count_by_decision[Decision.NO_KEEPER] == 1


def test_request_is_refused_though_the_first_view_comes_a_moment_later():
    service_by_address = {}
    service = Service(service_by_address, "n-0", QuotaRules(slack=20.0))
    service_by_address[service.link.address] = service
    timer = threading.Timer(0.25, service.set_nodes, args=[[make_node("n-0")]])
    timer.start()
    assert admit(service) == 0.0
    timer.join()


def test_callers_of_a_host_without_a_view_come_back_at_the_same_time():
    service = Service({}, "n-0", QuotaRules())
    waits = [admit(service, seconds=0.05) for _ in range(8)]
    assert len({round(wait, 3) for wait in waits}) == 8
    assert all(0.3 <= wait <= 1.2 for wait in waits)


def test_account_without_a_quota_of_the_fleet_is_refused(services):
    for spec in (
        AccountSpec(requests_per_second=0.01),
        AccountSpec(burst_requests=0.0),
    ):
        assert [services[0].admit("plain", spec, 0.0) for _ in "12"] == [0.0, 0.0]
