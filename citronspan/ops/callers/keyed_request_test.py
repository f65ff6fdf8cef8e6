"""Tests what an entry reports of a keyed request."""

from unittest import mock

import pytest

from citronspan.core import result_codes
from citronspan.ops.callers.keyed_request import KeyedRequest


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
