"""Messages between the hosts that ask for an account's credit and its keepers.

They name accounts and never keys. Field names are shortened on the wire. Earlier
versions drop these messages like any of an unknown type, and then count as silent.
"""

import msgspec

from citronspan.core.message_base import Message


class QuotaAsk(
    Message,
    kw_only=True,
    rename={
        "ask_id": "i",
        "account": "a",
        "seat": "s",
        "needed": "n",
        "wanted": "w",
        "is_other_lost": "o",
    },
):
    """A host asks a seat of an account for credit.

    Attributes:
        ask_id: Number of the question, which its answer repeats.
        account: Name of the account.
        seat: Number of the seat.
        needed: Credit for requests that wait for it.
        wanted: Credit ahead for requests that the host expects.
        is_other_lost: Whether the keeper of the other seat is silent or new.
    """

    ask_id: int
    account: str
    seat: int = 0
    needed: int = 0
    wanted: int = 0
    is_other_lost: bool = False


class QuotaAnswer(
    Message,
    kw_only=True,
    rename={
        "ask_id": "i",
        "granted": "g",
        "ahead": "h",
        "retry_after_seconds": "r",
        "is_keeper": "k",
        "is_new": "n",
    },
):
    """A keeper's answer to ``QuotaAsk``.

    Attributes:
        ask_id: Number of the question.
        granted: Credit for the requests that wait.
        ahead: Credit that may be used until it lapses.
        retry_after_seconds: Time until the seat has credit for one more request of this
            host, 0 if everything needed was granted.
        is_keeper: Whether the sender is keeper of the seat in its own view.
        is_new: Whether it is a new keeper, which lends little for some seconds.
    """

    ask_id: int
    granted: int = 0
    ahead: int = 0
    retry_after_seconds: float = 0.0
    is_keeper: bool = True
    is_new: bool = False


class QuotaReturn(
    Message,
    kw_only=True,
    rename={"number": "i", "account": "a", "seat": "s", "returned": "n"},
):
    """Credit of requests that were refused after they had been charged.

    Attributes:
        number: Number that grows with each such message of the sending process, so that
            a repeated one counts once.
        account: Name of the account.
        seat: Number of the seat.
        returned: Number of requests.
    """

    number: int
    account: str
    seat: int
    returned: int


class SeatLevel(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a keeper hands over of one seat.

    Attributes:
        account: Name of the account.
        seat: Number of the seat.
        level: Credit in the bucket.
        ahead: Credit lent ahead that has not lapsed.
    """

    account: str
    seat: int
    level: float
    ahead: int = 0


class QuotaHandover(Message, kw_only=True, rename={"levels": "l"}):
    """Seats that the sender was keeper of, and no longer is.

    Attributes:
        levels: Levels of the seats.
    """

    levels: tuple[SeatLevel, ...]


QuotaMessage = QuotaAsk | QuotaAnswer | QuotaReturn | QuotaHandover
