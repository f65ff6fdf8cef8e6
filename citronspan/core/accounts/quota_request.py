"""How one request is charged: at hand, by the keepers in turn, or by a host alone.

Load pattern: keepers mostly answer within milliseconds; at times one is lost, and at
times all are slow. A lost one costs a request a short wait. Slow ones are waited for,
as hosts that went on without their answers would together exceed the limit. When all
hosts start again at once, callers come before hosts know each other: a request asks
again for a while, since refused callers would all come back into the same moment.
"""

import enum
import time
from collections.abc import Generator
from dataclasses import dataclass

from citronspan.core.accounts.quota_holder import QuotaHolder, SeatAsk
from citronspan.core.resources import AccountSpec

KEEPER_WAIT_SECONDS = 0.15
CROSS_REGION_WAIT_SECONDS = 0.1
"""Additional wait for a keeper in another region, for the round trip."""

PATIENCE_SECONDS = 1.0
"""Longest wait for keepers of which none answers in time."""

ASK_AGAIN_SECONDS = 0.1
"""Time after which it is asked again who keeps an account, if nobody says so."""


class Decision(enum.StrEnum):
    """How a request was decided."""

    AT_HAND = "at-hand"
    KEEPER = "keeper"
    ALONE = "alone"
    OVER_QUOTA = "over-quota"
    NO_KEEPER = "no-keeper-answers"


ADMITTED = frozenset({Decision.AT_HAND, Decision.KEEPER, Decision.ALONE})


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaWait:
    """A wait of a request.

    Attributes:
        asks: Questions to send before the wait.
        until: Monotonic time of its end; it ends before with any answer that
            ``QuotaHolder.receive`` says is waited for.
    """

    asks: tuple[SeatAsk, ...]
    until: float


def charge_request(
    holder: QuotaHolder, name: str, spec: AccountSpec, deadline: float
) -> Generator[QuotaWait, None, Decision]:
    """Charge a request to its account.

    Args:
        holder: Credit of the host.
        name: Name of the account.
        spec: Its specification, with a limit for the fleet.
        deadline: Monotonic time after which the request need not be admitted.

    Yields:
        Waits. The first one may only have a question that nobody waits for.

    Returns:
        How the request was decided.
    """
    if holder.take(name, spec):
        ahead = holder.ask_ahead(name)
        if ahead is not None:
            yield QuotaWait(asks=(ahead,), until=time.monotonic())
        return Decision.AT_HAND
    asks: list[SeatAsk] = []
    granted: SeatAsk | None = None
    try:
        granted, refusals = yield from _ask_until_known(holder, name, deadline, asks)
    finally:
        for ask in asks:
            holder.close_ask(ask, is_used=ask is granted)
    if granted is not None:
        return Decision.KEEPER
    if holder.admit_alone(name, refusals):
        return Decision.ALONE
    return Decision.OVER_QUOTA if refusals else Decision.NO_KEEPER


def _ask_until_known(holder, name, deadline, asks):
    """Ask the seats until one is granted or refused, or for a while."""
    end = min(time.monotonic() + PATIENCE_SECONDS, deadline)
    while True:
        granted, refusals = yield from _ask_seats(holder, name, deadline, asks)
        if granted is not None or refusals or holder.is_alone():
            return granted, refusals
        again_at = time.monotonic() + ASK_AGAIN_SECONDS
        if again_at >= end:
            return None, 0
        yield QuotaWait(asks=(), until=again_at)


def _ask_seats(holder, name, deadline, asks):
    """Ask the seats, first in turn; return the question granted, and the refusals."""
    started_at = time.monotonic()
    # A seat that is not listed refused a moment ago.
    seats = holder.list_seats(name)
    refusals = len(holder.list_keeper_addresses(name)) - len(seats)
    refused: set[int] = set()
    for seat in seats:
        if holder.is_silent(name, seat):
            continue
        ask = holder.ask(name, seat)
        if ask is None:
            continue
        asks.append(ask)
        wait_seconds = KEEPER_WAIT_SECONDS
        if ask.region != holder.region:
            wait_seconds += CROSS_REGION_WAIT_SECONDS
        end = min(time.monotonic() + wait_seconds, deadline)
        yield QuotaWait(asks=(ask,), until=end)
        while holder.find_answer(ask) is None and time.monotonic() < end:
            yield QuotaWait(asks=(), until=end)
        if holder.find_answer(ask) is None:
            holder.note_silence(ask)
        granted = _find_grant(holder, name, asks, refused)
        if granted is not None:
            return granted, 0
    if refusals + len(refused) or holder.is_alone():
        return None, refusals + len(refused)
    end = min(started_at + PATIENCE_SECONDS, deadline)
    asked = {ask.message.seat for ask in asks}
    added = [holder.ask(name, seat) for seat in seats if seat not in asked]
    added = [ask for ask in added if ask is not None]
    asks.extend(added)
    granted = None
    if asks and not _all_answered(holder, asks):
        yield QuotaWait(asks=tuple(added), until=end)
        granted = _find_grant(holder, name, asks, refused)
    while granted is None and not _all_answered(holder, asks):
        if time.monotonic() >= end:
            break
        yield QuotaWait(asks=(), until=end)
        granted = _find_grant(holder, name, asks, refused)
    for ask in added:
        if holder.find_answer(ask) is None:
            holder.note_silence(ask)
    return granted, len(refused)


def _find_grant(holder, name, asks, refused):
    """Return a question whose answer grants credit; note the seats that refuse."""
    for ask in asks:
        answer = holder.find_answer(ask)
        seat = ask.message.seat
        if answer is None or not answer.is_keeper or seat in refused:
            continue
        if answer.granted > 0:
            return ask
        refused.add(seat)
        holder.note_refusal(name, seat, answer)
    return None


def _all_answered(holder, asks):
    return all(holder.find_answer(ask) is not None for ask in asks)
