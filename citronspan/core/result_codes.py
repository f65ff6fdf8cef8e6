"""Numbered result codes of refusals and errors.

Every refusal that a caller or an operator sees carries one of these numbers, so that
documentation, alerts and support requests can refer to it exactly.
docs/RESULT_CODES.md is generated from this module, and a test checks that they agree.
"""

import enum
from dataclasses import dataclass


class Ran(enum.StrEnum):
    """Whether a target ran the request that a result code refers to."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"
    NOT_APPLICABLE = "not-applicable"


@dataclass(frozen=True, kw_only=True, slots=True)
class ResultCode:
    """A numbered result.

    Attributes:
        number: Stable number, unique in the project.
        name: Short name in kebab case.
        http_status: Status of the HTTP answer that carries the code; for settings
            errors, the exit status of the program.
        ran: Whether a target ran the request, as far as the code tells.
        meaning: One sentence that explains the code to callers and operators.
    """

    number: int
    name: str
    http_status: int
    ran: Ran
    meaning: str


RESULT_CODE_BY_NUMBER: dict[int, ResultCode] = {}


def _define(number, name, http_status, ran, meaning):
    code = ResultCode(
        number=number, name=name, http_status=http_status, ran=ran, meaning=meaning
    )
    if number in RESULT_CODE_BY_NUMBER:
        raise ValueError(f"result code {number} is defined twice")
    RESULT_CODE_BY_NUMBER[number] = code
    return code


_NA = Ran.NOT_APPLICABLE
_NOT = Ran.NOT_RUN
_MAY = Ran.MAY_HAVE_RUN
_RAN = Ran.RAN

# 1000-1099: settings files and command lines; http_status holds the exit status.
SETTINGS_UNREADABLE = _define(
    1001, "settings-unreadable", 2, _NA, "The settings file cannot be read."
)
SETTINGS_INVALID = _define(
    1002, "settings-invalid", 2, _NA, "The settings file is invalid."
)
ADDRESS_INVALID = _define(
    1003, "address-invalid", 2, _NA, "An address is not of the form IP:PORT."
)
ADDRESS_IN_USE = _define(
    1004, "address-in-use", 2, _NA, "An address in the settings cannot be bound."
)

# 2000-2099: the resource API.
RESOURCE_INVALID = _define(
    2001, "resource-invalid", 400, _NA, "A field of the resource is invalid."
)
RESOURCE_UNKNOWN = _define(
    2002, "resource-unknown", 404, _NA, "The resource does not exist."
)
VERSION_CONFLICT = _define(
    2003, "version-conflict", 409, _NA, "The resource has a different version."
)
NOT_ACCEPTED = _define(
    2004,
    "not-accepted",
    503,
    _NA,
    "The log is unavailable; the change was not accepted and may be sent again.",
)
OUTCOME_UNKNOWN = _define(
    2005,
    "outcome-unknown",
    504,
    _NA,
    "The log accepted the change, but its effect was not seen in time; read it again.",
)
WATCH_TOO_OLD = _define(
    2006,
    "watch-too-old",
    410,
    _NA,
    "The version is too old; list the resources and start a new watch.",
)
API_REQUEST_INVALID = _define(
    2007, "api-request-invalid", 400, _NA, "The API request is invalid."
)
WRITTEN_ELSEWHERE = _define(
    2008, "written-elsewhere", 409, _NA, "These resources are read-only in the API."
)
TOO_MANY_WATCHES = _define(
    2010,
    "too-many-watches",
    503,
    _NA,
    "The agent accepts no further watches; use another agent.",
)
API_UNREACHABLE = _define(
    2011, "api-unreachable", 503, _NA, "The agent's API does not respond."
)
REQUEST_UNKNOWN = _define(
    2013, "request-unknown", 404, _NA, "No log line mentions the request."
)
LOG_UNREADABLE = _define(2014, "log-unreadable", 404, _NA, "A log file cannot be read.")
AGENT_STARTING = _define(
    2012,
    "agent-starting",
    503,
    _NA,
    "The agent has not caught up with the log yet; retry later.",
)

# 3000-3099: callers' requests.
NO_ROUTE = _define(3001, "no-route", 404, _NOT, "No route matches the request.")
NO_CAPACITY = _define(
    3002, "no-capacity", 503, _NOT, "No target had a free slot in time."
)
OVERLOADED = _define(
    3003,
    "overloaded",
    503,
    _NOT,
    "Requests of higher worth, or of accounts with less, use the capacity.",
)
DEADLINE_TOO_SHORT = _define(
    3004, "deadline-too-short", 503, _NOT, "The deadline cannot be met."
)
TARGET_REFUSED = _define(
    3005,
    "target-refused",
    503,
    _NOT,
    "Every target that was tried refused to run the request.",
)
ANSWER_LOST = _define(
    3006, "answer-lost", 502, _MAY, "The target's answer was lost or cut short."
)
DEADLINE_PASSED = _define(
    3007, "deadline-passed", 504, _MAY, "The target did not answer in time."
)
REQUEST_INVALID = _define(
    3008, "request-invalid", 400, _NOT, "The request is malformed."
)
REQUEST_QUARANTINED = _define(
    3009,
    "request-quarantined",
    503,
    _NOT,
    "The same request coincided with crashes of several targets.",
)
ACCOUNT_LIMITED = _define(
    3010, "account-limited", 429, _NOT, "The client account exceeds its request rate."
)
UPLOAD_CUT_SHORT = _define(
    3012,
    "upload-cut-short",
    400,
    _MAY,
    "The request body ended before its declared length.",
)
CONFIGURATION_MISSING = _define(
    3013,
    "configuration-missing",
    503,
    _NOT,
    "The entry has not received a configuration yet.",
)
ENTRY_FULL = _define(
    3014,
    "entry-full",
    503,
    _NOT,
    "The entry runs as many requests as it may; another entry may have room.",
)
ENTRY_STOPPING = _define(
    3015,
    "entry-stopping",
    503,
    _NOT,
    "The entry stops before the request could end; another entry may run it.",
)
ACCOUNT_KEY_UNKNOWN = _define(
    3016,
    "account-key-unknown",
    401,
    _NOT,
    "The route needs the key of a client account, and the request has none in force.",
)
ENTRY_LINK_FULL = _define(
    3017,
    "entry-link-full",
    503,
    _NOT,
    "The entry's link cannot carry the answer in time; another entry may have room.",
)
LINK_BUDGET_SPENT = _define(
    3060,
    "link-budget-spent",
    503,
    _NOT,
    "The budget for requests over the link between the regions is spent.",
)
ATTEMPT_CANCELLED = _define(
    3061, "attempt-cancelled", 503, _NOT, "The entry cancelled the attempt."
)
RETRIES_SPENT = _define(
    3062, "retries-spent", 503, _NOT, "The service's retry budget is spent."
)
CALLER_GONE = _define(
    3063,
    "caller-gone",
    503,
    _NOT,
    "The caller disconnected while the request was waiting.",
)
UPLOAD_LATE = _define(
    3073,
    "upload-late",
    502,
    _MAY,
    "The request body stalled while it was being sent to a target.",
)
CALLER_TOO_SLOW = _define(
    3070, "caller-too-slow", 408, _MAY, "The request did not arrive completely in time."
)
HEAD_TOO_LARGE = _define(
    3071, "head-too-large", 431, _NOT, "The request line or the headers are too large."
)
ENTRY_FAULT = _define(
    3072, "entry-fault", 500, _MAY, "The entry failed with an internal error."
)

# 4000-4099: idempotency keys.
KEY_INVALID = _define(4001, "key-invalid", 400, _NOT, "The key is malformed.")
KEY_REQUIRED = _define(4002, "key-required", 400, _NOT, "The route requires a key.")
KEY_CLOSED = _define(
    4003,
    "key-closed",
    409,
    _NOT,
    "The key is closed; send the request again with a new key.",
)
KEY_EXPIRED = _define(
    4004, "key-expired", 409, _NOT, "The key has expired and was not run."
)
KEY_MAY_HAVE_RUN = _define(
    4005,
    "key-may-have-run",
    409,
    _MAY,
    "The request of the key may have run; its outcome is unknown.",
)
KEY_REPLAY_TOO_LARGE = _define(
    4006,
    "key-replay-too-large",
    409,
    _RAN,
    "The request of the key was run, but its answer was not stored.",
)
KEY_NOT_RECORDED = _define(
    4007,
    "key-not-recorded",
    503,
    _NOT,
    "The key could not be recorded; send the request with a new key.",
)
KEY_REUSED = _define(
    4008, "key-reused", 422, _NOT, "The key was used for a different request."
)

# 4010-4029: results of the key protocol besides those in the callers' documentation.
KEY_TOO_FAR_AHEAD = _define(
    4010,
    "key-too-far-ahead",
    409,
    _NOT,
    "The expiry time of the key is too far ahead; the key is closed, use a new key.",
)
