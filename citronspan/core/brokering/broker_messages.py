"""Messages between entries and the brokers that grant slots of targets.

An entry sends ``SlotRequest`` and receives ``SlotGrant``, ``SlotRefusal`` or
``SlotRedirect``, preceded by ``SlotWaiting`` if the request is queued. It ends a
granted attempt with ``SlotRelease``, and an attempt that it abandoned with
``SlotCancel``. Every message carries the attempt ID, which identifies late, crossed
and duplicated messages.

Field names are shortened on the wire, because every request causes such messages.
"""

import msgspec

from citronspan.core.detection.verdicts import Verdict
from citronspan.core.message_base import Message
from citronspan.core.outcomes import Outcome
from citronspan.core.rate_limits import RateLimit


def shorten_name(name: str) -> str:
    """Return the wire name of a field: the first two letters of each of its words.

    msgspec rejects a type in which two fields have the same wire name.
    """
    return "".join(word[:2] for word in name.split("_"))


class SlotRequest(Message, kw_only=True, rename=shorten_name):
    """A request for a slot of any target of a shard.

    Attributes:
        attempt_id: Random 64-bit number; a repeated request carries the same one.
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard within the service and region.
        deadline_seconds: Time left until the caller must have its answer.
        worth: Worth of the request; a higher worth is served first.
        idempotent: Whether the request may run more than once.
        request_kind: Request kind of the route.
        excluded: Names of targets that must not be granted.
        fingerprint: Hash of the request's content.
        is_retry: Whether an earlier attempt of the request was dispatched.
        from_region: Region of the entry if it differs from the shard's, else empty.
        body_bytes: Length of the request's body, as far as it is known.
        force: Whether to serve the request even if the receiver considers another
            entry the broker, because the sender cannot reach that entry.
        data_centre: Data centre of the entry.
        goal_seconds: Time left in which an answer has its full worth, 0 if the worth
            does not depend on time.
        connected: Names of targets to which the entry has an idle connection.
        avoided: Names of targets that the entry recently failed to reach.
        request_id: ID of the request in logs.
        has_other_region: Whether the entry asks another region if this shard has no
            free slot of acceptable cost. Targets with a high failure probability are
            then not granted.
        asked_before: Whether the entry already requested a slot for the same request,
            from this broker or another.
        rate_limits: What targets of the shard that limit their request rate last
            stated to the entry.
        account: Name of the client account, or empty.
        account_weight: Weight of the account among those whose requests wait, 0 if it
            has none of its own.
        is_hedge: Whether an earlier attempt still runs and is only late. Such a
            request is granted at once or refused. An entry sends it only to a broker
            that set ``SlotGrant.hedge_seconds``.
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
    rate_limits: dict[str, RateLimit] = {}
    account: str = ""
    account_weight: float = 0.0
    is_hedge: bool = False


class SlotGrant(Message, kw_only=True, rename=shorten_name):
    """A slot that the attempt may use until its release or the end of its lease.

    Attributes:
        attempt_id: ID of the attempt.
        target: Name of the target.
        address: ``IP:PORT`` of the target.
        lease_seconds: Time after which the broker frees the slot without a release.
        trial: Whether this is a trial request to a target that may fail.
        free_slots: Free slots of the shard after this grant.
        attempt_seconds: Time after which an attempt that may be retried is given up, 0
            if the entry has to decide it.
        hedge_seconds: Time after which a second attempt is worth asking for if there
            is no answer, 0 for never.
    """

    attempt_id: int
    target: str
    address: str
    lease_seconds: float = msgspec.field(name="hose")
    trial: bool = False
    free_slots: int = 0
    attempt_seconds: float = 0.0
    hedge_seconds: float = 0.0


class SlotRefusal(Message, kw_only=True, rename=shorten_name):
    """Refusal of a slot; the attempt was not run.

    Attributes:
        attempt_id: ID of the attempt.
        code: Number of the result code.
        retry_after_seconds: Time after which a retry may succeed, 0 if a retry is
            of no use.
    """

    attempt_id: int
    code: int
    retry_after_seconds: float = 0.0


class SlotWaiting(Message, kw_only=True, rename=shorten_name):
    """Notice that the attempt is queued for a slot; the final answer follows.

    Attributes:
        attempt_id: ID of the attempt.
    """

    attempt_id: int


class SlotRedirect(Message, kw_only=True, rename=shorten_name):
    """Notice that another entry is the broker; the attempt has no answer yet.

    Attributes:
        attempt_id: ID of the attempt.
        broker: Peer address of the broker in the sender's view, or empty if unknown.
    """

    attempt_id: int
    broker: str = ""


class SlotRelease(Message, kw_only=True, rename=shorten_name):
    """The end of an attempt, with its outcome.

    An entry also sends this for attempts that it dispatched without a grant, as
    evidence for detection.

    Attributes:
        attempt_id: ID of the attempt.
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard.
        outcome: Outcome of the attempt.
        answer_bytes: Length of the answer's body.
    """

    attempt_id: int
    service: str
    region: str
    shard: int
    outcome: Outcome
    answer_bytes: int = 0


class SlotCancel(Message, kw_only=True, rename=shorten_name):
    """Notice that the entry no longer needs the slot and has not used it.

    Attributes:
        attempt_id: ID of the attempt.
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard.
        is_abandoned: Whether no broker's slot is used for the attempt. An entry that
            only stops waiting for one broker may use a slot of another, or one whose
            grant comes late, for the same attempt.
    """

    attempt_id: int
    service: str
    region: str
    shard: int
    is_abandoned: bool = False


class HandoverGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An open grant in a handover.

    Attributes:
        attempt_id: ID of the attempt.
        target: Name of the target.
        request_kind: Request kind of the route.
        held_seconds: Time since the grant.
        lease_seconds: Time from the grant to the end of the lease.
    """

    attempt_id: int
    target: str
    request_kind: str
    held_seconds: float
    lease_seconds: float = msgspec.field(name="hold_seconds")


class BrokerHandover(Message, kw_only=True):
    """State of a shard that its broker passes to the next one.

    Attributes:
        service: Name of the service.
        region: Region of the shard.
        shard: Number of the shard.
        grants: Open grants.
        mean_seconds_by_kind: Mean time for which a slot is held, by request kind.
        verdicts: Detection's verdict on each target.
    """

    service: str
    region: str
    shard: int
    grants: tuple[HandoverGrant, ...] = ()
    mean_seconds_by_kind: dict[str, float] = {}
    verdicts: tuple[Verdict, ...] = ()


BrokerMessage = SlotRequest | SlotRelease | SlotCancel | BrokerHandover
"""Messages that a broker handles."""

EntryMessage = SlotGrant | SlotRefusal | SlotWaiting | SlotRedirect
"""Messages that an entry receives from a broker."""
