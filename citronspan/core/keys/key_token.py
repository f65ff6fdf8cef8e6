"""Idempotency keys: prefixes are minted by the directory, keys are parsed by entries.

A key is ``PREFIX.SUFFIX``. The prefix is part of a directory answer. It names the two
entries that track the keys made from it, each with the incarnation of its process, and
the time until which new keys are accepted. The caller chooses the suffix, one for each
order, purchase or refund.

The clocks of hosts differ, so the expiry time decides only whether a new key is still
accepted, and only the owner decides this, by its own clock. No guarantee depends on it:
evicted records are covered by a bound on expiry times (see ``key_table``), so a clock
that jumps in either direction causes refusals but never a second run.
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
from citronspan.utils.validation import DECODING_ERRORS

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
    """The parsed contents of a key.

    Attributes:
        key_id: Digest of the full text of the key.
        owner: Name of the node whose entry decides about the key.
        owner_incarnation: Incarnation of that entry.
        witness: Name of the node whose entry keeps the second record of the key.
        witness_incarnation: Incarnation of that entry.
        expires_at_milliseconds: Expiry time since the epoch.
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
    """Mint the key prefix of a directory answer.

    Args:
        fleet: Name of the fleet.
        owner: Name of the node whose entry will own the keys.
        owner_incarnation: Incarnation of that entry.
        witness: Name of the node whose entry will be the witness, preferably in the
            same region but another data centre; the owner in a fleet of one node.
        witness_incarnation: Incarnation of that entry.
        secret: Secret of the fleet. Without one, the message authentication code
            detects damage but not forgery.
        lifetime_seconds: Time for which new keys with this prefix are accepted.

    Returns:
        Prefix text that is safe in headers and URLs.
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
    mac = _compute_mac(payload, fleet, secret)
    text = base64.urlsafe_b64encode(payload + mac).rstrip(b"=").decode()
    return KEY_VERSION_PREFIX + text


def parse_key(text: str, *, fleet: str, secret: bytes = b"") -> KeyToken:
    """Parse and verify a key that a caller sent.

    Args:
        text: Value of the header ``Idempotency-Key``.
        fleet: Name of this fleet.
        secret: Secret of this fleet.

    Returns:
        The verified token.

    Raises:
        CitronspanError: With code 4001 for an invalid key; the detail has the cause.
    """
    prefix_text, dot, suffix = text.partition(".")
    if not dot:
        raise _make_invalid_key_error("the key has no '.' between prefix and suffix")
    if len(prefix_text) > MAXIMUM_PREFIX_LENGTH:
        raise _make_invalid_key_error(
            f"the prefix is longer than {MAXIMUM_PREFIX_LENGTH} characters"
        )
    if not _SUFFIX_PATTERN.fullmatch(suffix):
        raise _make_invalid_key_error(
            "the suffix is not 1 to 64 letters, digits, '-' or '_'"
        )
    if not _PREFIX_PATTERN.fullmatch(prefix_text):
        raise _make_invalid_key_error(
            "the prefix is not in the format of the directory's prefixes"
        )
    prefix = _decode_prefix(prefix_text, fleet, secret)
    _validate_node_names(prefix)
    return KeyToken(
        key_id=hashlib.blake2b(text.encode(), digest_size=KEY_ID_BYTES).digest(),
        owner=prefix.owner,
        owner_incarnation=prefix.owner_incarnation,
        witness=prefix.witness,
        witness_incarnation=prefix.witness_incarnation,
        expires_at_milliseconds=prefix.expires_at_milliseconds,
    )


def is_fleet_key(text: str) -> bool:
    """Return whether a key has the version prefix of the directory's keys."""
    return text.startswith(KEY_VERSION_PREFIX)


def compute_fingerprint(method: str, path: str, body_identifier: bytes) -> int:
    """Return a hash that must be the same when a request is resent with its key.

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


def _decode_prefix(prefix_text, fleet, secret):
    encoded = prefix_text.removeprefix(KEY_VERSION_PREFIX)
    padding = "=" * (-len(encoded) % 4)
    try:
        data = base64.urlsafe_b64decode(encoded + padding)
    except (binascii.Error, ValueError) as error:
        raise _make_invalid_key_error("the prefix is damaged") from error
    payload = data[:-MAC_BYTES]
    try:
        prefix = _DECODER.decode(payload)
    except DECODING_ERRORS as error:
        raise _make_invalid_key_error("the prefix is damaged") from error
    if prefix.fleet != fleet:
        raise _make_invalid_key_error(
            f"the key belongs to fleet {prefix.fleet!r}, not to {fleet!r}"
        )
    mac = _compute_mac(payload, fleet, secret)
    if not hmac.compare_digest(mac, data[-MAC_BYTES:]):
        raise _make_invalid_key_error(
            "the authentication code of the prefix does not match"
        )
    # Base64 decoding ignores spare bits of the last character. Accepting several
    # texts of one prefix would allow two keys for one order.
    canonical = base64.urlsafe_b64encode(data).rstrip(b"=").decode()
    if canonical != encoded:
        raise _make_invalid_key_error("the prefix is damaged")
    return prefix


def _validate_node_names(prefix):
    for name in (prefix.owner, prefix.witness):
        if not 1 <= len(name) <= MAXIMUM_NAME_LENGTH:
            raise _make_invalid_key_error(
                "the prefix contains a node name of invalid length"
            )


def _compute_mac(payload, fleet, secret):
    key = secret + b"\0" + fleet.encode()
    return hmac.digest(key, payload, "sha256")[:MAC_BYTES]


def _make_invalid_key_error(detail: str) -> CitronspanError:
    return CitronspanError(code=result_codes.KEY_INVALID, detail=detail)
