"""Tests what an entry reports of a keyed request."""

from unittest import mock

import pytest

from citronspan.core import result_codes
from citronspan.core.keys.key_protocol_results import Replay
from citronspan.core.keys.key_token import compute_fingerprint
from citronspan.ops.callers.keyed_request import KeyedRequest, claim_key


@pytest.mark.parametrize(
    "code",
    [
        result_codes.ENTRY_STOPPING,
        result_codes.ACCOUNT_KEY_UNKNOWN,
        result_codes.ACCOUNT_CHANGED,
    ],
)
def test_entry_of_an_earlier_version_takes_a_stop_for_a_run(code):
    """It takes a code that it does not know for one that may have run."""
    keys = mock.Mock()
    request = KeyedRequest(keys=keys, permission=mock.sentinel.permission)
    request.report_refused(code, None)
    keys.report_not_run.assert_called_once_with(
        mock.sentinel.permission, result_codes.NO_CAPACITY
    )


def compute_claimed(*, stated, account="", is_screened=True):
    """Return the fingerprint under which a request's key is claimed."""
    keys = mock.Mock()
    keys.claim.return_value = mock.Mock(spec=Replay)
    context = mock.Mock(account=account, is_screened=is_screened)
    context.body.buffer = b""
    context.body.length = 0
    context.request.method = "POST"
    context.request.uri = "/x"
    context.request.account = stated
    claim_key(keys, context)
    return keys.claim.call_args.args[1]


def test_stored_answer_is_that_of_the_account_of_the_key_whatever_a_caller_states():
    own = compute_claimed(account="a", stated="a")
    assert compute_claimed(account="a", stated="b") == own
    assert compute_claimed(account="b", stated="a") != own
    assert compute_claimed(account="", stated="a") != own


def test_without_account_keys_the_fingerprint_is_as_before():
    claimed = compute_claimed(stated="a", is_screened=False)
    assert claimed == compute_fingerprint("POST", "a\0/x", b"0")
