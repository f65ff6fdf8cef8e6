"""Idempotency keys: minted by the directory, parsed by entries.

A key is ``PREFIX.SUFFIX``. The prefix comes with the directory's answer and names
the two entries that remember the keys made from it, each with the incarnation of
its process, and the time until which new keys are taken. The suffix is the
caller's own, one for each order, purchase or refund.

Hosts' clocks differ, so the time of expiry decides only whether a new key is still
taken, and only the owner decides that, by its own clock. No promise hangs on it:
what was forgotten is remembered as a bound on the times of expiry (see
``key_table``), so that a clock which jumps in either direction makes refusals and
never a second run.
"""

import base64
import binascii
import hashlib
import hmac
import re
import secrets
import time

import msgspec

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError

KEY_LIFETIME_SECONDS = 300.0
KEY_VERSION_PREFIX = "k1-"
MAXIMUM_PREFIX_LENGTH = 400
MAXIMUM_NAME_LENGTH = 63
NONCE_BYTES = 6
MAC_BYTES = 10
KEY_ID_BYTES = 16

_PREFIX_PATTERN = re.compile(r"k1-[A-Za-z0-9_-]+")
_SUFFIX_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")


class KeyToken(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the fleet needs to know of one key.

    Attributes:
        key_id: Digest of the whole text of the key.
        owner: Name of the node whose entry decides about the key.
        owner_incarnation: Incarnation of that entry.
        witness: Name of the node whose entry records the key as well.
        witness_incarnation: Incarnation of that entry.
        expires_at_milliseconds: Time of expiry since the epoch.
    """

    key_id: bytes
    owner: str
    owner_incarnation: int
    witness: str
    witness_incarnation: int
    expires_at_milliseconds: int


class _Prefix(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    fleet: str
    owner: str
    owner_incarnation: int
    witness: str
    witness_incarnation: int
    expires_at_milliseconds: int
    nonce: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Prefix)


def mint_prefix(
    *,
    fleet: str,
    owner: str,
    owner_incarnation: int,
    witness: str,
    witness_incarnation: int,
    secret: bytes = b"",
    lifetime_seconds: float = KEY_LIFETIME_SECONDS,
) -> str:
    """Make the prefix of a directory answer.

    Args:
        fleet: Name of the fleet.
        owner: Name of the node whose entry will own the keys.
        owner_incarnation: Incarnation of that entry.
        witness: Name of the witness's node, best in the same region and another
            data centre. In a fleet of one node it is the owner.
        witness_incarnation: Incarnation of that entry.
        secret: Secret of the fleet. Without one the check finds damage but no
            forgery.
        lifetime_seconds: Time for which new keys of the prefix are taken.

    Returns:
        Text that is safe in a header and a URL.
    """
    expires_at = time.time() + lifetime_seconds
    payload = _ENCODER.encode(
        _Prefix(
            fleet=fleet,
            owner=owner,
            owner_incarnation=owner_incarnation,
            witness=witness,
            witness_incarnation=witness_incarnation,
            expires_at_milliseconds=int(expires_at * 1000),
            nonce=secrets.token_bytes(NONCE_BYTES),
        )
    )
    check = _compute_check(payload, fleet, secret)
    text = base64.urlsafe_b64encode(payload + check).rstrip(b"=").decode()
    return KEY_VERSION_PREFIX + text


def parse_key(text: str, *, fleet: str, secret: bytes = b"") -> KeyToken:
    """Parse and check a key that a caller sent.

    Args:
        text: Value of the header ``Idempotency-Key``.
        fleet: Name of this fleet.
        secret: Secret of this fleet.

    Returns:
        The checked token.

    Raises:
        CitronspanError: With code 4001; the detail says what is wrong.
    """
    head, dot, suffix = text.partition(".")
    if not dot:
        raise _invalid("the key has no '.' between prefix and suffix")
    if len(head) > MAXIMUM_PREFIX_LENGTH:
        raise _invalid(f"the prefix is longer than {MAXIMUM_PREFIX_LENGTH} characters")
    if not _SUFFIX_PATTERN.fullmatch(suffix):
        raise _invalid("the suffix is not 1 to 64 letters, digits, '-' or '_'")
    if not _PREFIX_PATTERN.fullmatch(head):
        raise _invalid("the prefix is not one that the directory gave")
    prefix = _decode_prefix(head, fleet, secret)
    _check_prefix(prefix)
    return KeyToken(
        key_id=hashlib.blake2b(text.encode(), digest_size=KEY_ID_BYTES).digest(),
        owner=prefix.owner,
        owner_incarnation=prefix.owner_incarnation,
        witness=prefix.witness,
        witness_incarnation=prefix.witness_incarnation,
        expires_at_milliseconds=prefix.expires_at_milliseconds,
    )


def is_fleet_key(text: str) -> bool:
    """Return whether a key claims to be made from a directory's prefix."""
    return text.startswith(KEY_VERSION_PREFIX)


def compute_fingerprint(method: str, path: str, body_identifier: bytes) -> int:
    """Return what must be equal when a request is sent again with its key.

    Args:
        method: Method of the request.
        path: Path and query of the request.
        body_identifier: Digest of the body, or its length as text.

    Returns:
        A hash of 64 bits.
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (method.encode(), path.encode(errors="surrogatepass"), body_identifier):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def _decode_prefix(head, fleet, secret):
    encoded = head.removeprefix(KEY_VERSION_PREFIX)
    padding = "=" * (-len(encoded) % 4)
    try:
        data = base64.urlsafe_b64decode(encoded + padding)
    except (binascii.Error, ValueError) as error:
        raise _invalid("the prefix is damaged") from error
    payload = data[:-MAC_BYTES]
    try:
        prefix = _DECODER.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid("the prefix is damaged") from error
    if prefix.fleet != fleet:
        raise _invalid(f"the key is of fleet {prefix.fleet!r}, this is {fleet!r}")
    check = _compute_check(payload, fleet, secret)
    if not hmac.compare_digest(check, data[-MAC_BYTES:]):
        raise _invalid("the check of the prefix does not match")
    # Base64 ignores spare bits of the last character; two texts of one prefix
    # would be two keys for one order.
    canonical = base64.urlsafe_b64encode(data).rstrip(b"=").decode()
    if canonical != encoded:
        raise _invalid("the prefix is damaged")
    return prefix


def _check_prefix(prefix):
    for name in (prefix.owner, prefix.witness):
        if not 1 <= len(name) <= MAXIMUM_NAME_LENGTH:
            raise _invalid("the prefix names no node")


def _compute_check(payload, fleet, secret):
    key = secret + b"\0" + fleet.encode()
    return hmac.digest(key, payload, "sha256")[:MAC_BYTES]


def _invalid(detail: str) -> CitronspanError:
    return CitronspanError(code=result_codes.KEY_INVALID, detail=detail)
