"""Messages between entries and the brokers that hand out slots of targets.

An entry asks with ``SlotRequest`` and gets ``SlotGrant``, ``SlotRefusal`` or
``SlotRedirect``, and before that ``SlotWaiting`` where it has to wait. It ends a
granted attempt with ``SlotRelease``, and one that it has given up with
``SlotCancel``. Every message names the attempt, so that late, crossed and duplicated
ones are told apart.

These messages go with every request, so that the names of their fields are short on
the wire.
"""

import msgspec

from citronspan.core.message_base import Message
from citronspan.core.outcomes import Outcome
from citronspan.core.verdicts import Verdict


def shorten_name(name: str) -> str:
    """Return the first two letters of each word of a field's name.

    msgspec refuses a type in which two fields get the same short name.
    """
    return "".join(word[:2] for word in name.split("_"))


class SlotRequest(Message, kw_only=True, rename=shorten_name):
    """A question for a slot of any target of a shard.

    Attributes:
        attempt_id: Random 64-bit number; the same when the question is sent again.
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard within the service and region.
        deadline_seconds: Time left until the caller must have its answer.
        worth: Worth of the request; more is served first.
        idempotent: Whether the request may run more than once.
        request_kind: Request kind of the route.
        excluded: Names of targets that this request must not use.
        fingerprint: Hash of what the request asks.
        is_retry: Whether an earlier attempt of the request was dispatched.
        from_region: Region of the entry where it differs, else empty.
        body_bytes: Length of the request's body, as far as it is known.
        force: Whether to serve it although another broker is thought to serve the
            shard, because the entry cannot reach that one.
        data_centre: Data centre of the entry.
        goal_seconds: Time left in which an answer is worth most, 0 if all the same.
        connected: Names of targets to which the entry has an idle connection.
        avoided: Names of targets that the entry could not reach lately.
        request_id: What identifies the request in logs.
        has_other_region: Whether another region is asked if only doubted targets have
            room here; these are then not granted.
        asked_before: Whether another question was asked for the same attempt of the
            request, of this shard or another.
    """

    attempt_id: int
    service: str
    region: str
    shard: int
    deadline_seconds: float
    worth: float = 1.0
    idempotent: bool = False
    request_kind: str = ""
    excluded: tuple[str, ...] = ()
    fingerprint: int = 0
    is_retry: bool = False
    from_region: str = ""
    body_bytes: int = 0
    force: bool = msgspec.field(default=False, name="in")
    data_centre: str = ""
    goal_seconds: float = 0.0
    connected: tuple[str, ...] = ()
    avoided: tuple[str, ...] = ()
    request_id: str = ""
    has_other_region: bool = msgspec.field(default=False, name="el")
    asked_before: bool = False


class SlotGrant(Message, kw_only=True, rename=shorten_name):
    """A slot that the attempt may use until it is released.

    Attributes:
        attempt_id: The attempt.
        target: Name of the target.
        address: ``IP:PORT`` of the target.
        lease_seconds: Time after which the broker takes the slot back unasked.
        trial: Whether the target is being tried and may fail.
        free_slots: Slots of the shard that are free after this grant.
    """

    attempt_id: int
    target: str
    address: str
    lease_seconds: float = msgspec.field(name="hose")
    trial: bool = False
    free_slots: int = 0


class SlotRefusal(Message, kw_only=True, rename=shorten_name):
    """Word that the attempt gets no slot; nothing was run.

    Attributes:
        attempt_id: The attempt.
        code: Number of the result code.
        retry_after_seconds: When coming back may help, 0 where it does not.
    """

    attempt_id: int
    code: int
    retry_after_seconds: float = 0.0


class SlotWaiting(Message, kw_only=True, rename=shorten_name):
    """Word that the attempt waits for a slot; its answer is still to come.

    Attributes:
        attempt_id: The attempt.
    """

    attempt_id: int


class SlotRedirect(Message, kw_only=True, rename=shorten_name):
    """Word that another entry is the broker; the attempt is still unanswered.

    Attributes:
        attempt_id: The attempt.
        broker: Peer address of the broker in the sender's view, or empty.
    """

    attempt_id: int
    broker: str = ""


class SlotRelease(Message, kw_only=True, rename=shorten_name):
    """The end of an attempt, with what it came to.

    Attempts that an entry dispatched without a grant are told of likewise, as
    evidence.

    Attributes:
        attempt_id: The attempt.
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard.
        outcome: What the attempt came to.
        answer_bytes: Length of the answer's body.
    """

    attempt_id: int
    service: str
    region: str
    shard: int
    outcome: Outcome
    answer_bytes: int = 0


class SlotCancel(Message, kw_only=True, rename=shorten_name):
    """Word that the entry no longer wants the slot and has not used it.

    Attributes:
        attempt_id: The attempt.
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard.
    """

    attempt_id: int
    service: str
    region: str
    shard: int


class HandoverGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A grant in a handover.

    Attributes:
        attempt_id: The attempt.
        target: Name of the target.
        request_kind: Request kind of the route.
        held_seconds: Time since it was granted.
        lease_seconds: Time after which it is taken back.
    """

    attempt_id: int
    target: str
    request_kind: str
    held_seconds: float
    lease_seconds: float = msgspec.field(name="hold_seconds")


class BrokerHandover(Message, kw_only=True):
    """What a broker that stops serving a shard knows of it.

    Attributes:
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard.
        grants: Grants that are not released yet.
        mean_seconds_by_kind: Mean time that a slot is held, by request kind.
        verdicts: What detection holds of each target.
    """

    service: str
    region: str
    shard: int
    grants: tuple[HandoverGrant, ...] = ()
    mean_seconds_by_kind: dict[str, float] = {}
    verdicts: tuple[Verdict, ...] = ()


BrokerMessage = SlotRequest | SlotRelease | SlotCancel | BrokerHandover
"""Messages that a broker takes."""

EntryMessage = SlotGrant | SlotRefusal | SlotWaiting | SlotRedirect
"""Messages that an entry takes from a broker."""
