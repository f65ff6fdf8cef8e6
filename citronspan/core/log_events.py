"""Numbered log events.

Every log line carries one of these numbers, so that alerts need not match on text.
docs/LOG_EVENTS.md is generated from this module, and a test checks that they agree.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEvent:
    """A numbered log event.

    Attributes:
        number: Stable number, unique in the project.
        name: Short name in kebab case.
        level: Name of the log level.
        meaning: One sentence that explains the event to an operator.
    """

    number: int
    name: str
    level: str
    meaning: str


LOG_EVENT_BY_NUMBER: dict[int, LogEvent] = {}


def _define(number, name, level, meaning):
    event = LogEvent(number=number, name=name, level=level, meaning=meaning)
    if number in LOG_EVENT_BY_NUMBER:
        raise ValueError(f"log event {number} is defined twice")
    LOG_EVENT_BY_NUMBER[number] = event
    return event


# 100-199: every process.
PROCESS_STARTED = _define(
    100, "process-started", "INFO", "The process has started and is serving."
)
PROCESS_STOPPING = _define(
    101, "process-stopping", "INFO", "The process was asked to stop."
)
PROCESS_STOPPED = _define(102, "process-stopped", "INFO", "The process has stopped.")
STARTUP_FAILED = _define(103, "startup-failed", "ERROR", "The process could not start.")
MESSAGE_DROPPED = _define(
    104,
    "message-dropped",
    "WARNING",
    "A message of a peer could not be decoded or handled.",
)
BACKGROUND_TASK_FAILED = _define(
    105,
    "background-task-failed",
    "ERROR",
    "A background task raised an error and continues.",
)
SETTINGS_RELOADED = _define(
    106, "settings-reloaded", "INFO", "Changed settings have been applied."
)
SETTINGS_REFUSED = _define(
    107,
    "settings-refused",
    "ERROR",
    "The new settings are invalid; the previous settings stay in effect.",
)
LINES_LEFT_OUT = _define(
    108,
    "lines-left-out",
    "WARNING",
    "Log lines were suppressed to limit the log volume.",
)

# 200-299: the entry.
REQUEST_REFUSED = _define(
    200,
    "request-refused",
    "NOTICE",
    "The entry answered a request with an error of its own.",
)
TARGET_STATE_CHANGED = _define(
    201, "target-state-changed", "NOTICE", "A target's state changed."
)
FLOOR_REACHED = _define(
    202,
    "floor-reached",
    "WARNING",
    "Suspected targets stay in use because of the floor.",
)
DRAIN_BOUND_REACHED = _define(
    203,
    "drain-bound-reached",
    "ERROR",
    "Requests were still running when the drain time limit expired.",
)
BROKER_UNREACHABLE = _define(
    204,
    "broker-unreachable",
    "WARNING",
    "The broker does not answer; the entry chooses targets locally.",
)
REQUEST_QUARANTINED = _define(
    205, "request-quarantined", "WARNING", "A request coincided with target crashes."
)
REQUEST_ANSWERED = _define(
    206, "request-answered", "INFO", "A target's answer was forwarded to the caller."
)
REQUEST_FAILED = _define(
    207,
    "request-failed",
    "NOTICE",
    "A target's error answer was forwarded to the caller.",
)
ATTEMPT_FAILED = _define(
    208, "attempt-failed", "NOTICE", "An attempt to run a request on a target failed."
)
ATTEMPT_KEPT = _define(
    226,
    "attempt-kept",
    "INFO",
    "An attempt goes on past its limit, since no slot was got for a retry.",
)
SLOT_GRANTED = _define(
    209, "slot-granted", "INFO", "A broker granted a request a slot on a target."
)
SLOT_REFUSED = _define(
    210, "slot-refused", "INFO", "A broker refused to grant a request a slot."
)
HEDGE_SENT = _define(
    240,
    "hedge-sent",
    "INFO",
    "A late request was sent to a second target while the first works on it.",
)
HEDGE_ENDED = _define(
    241,
    "hedge-ended",
    "INFO",
    "A request with a second attempt has ended; says which attempt's answer counts.",
)
ANSWER_CUT = _define(
    211,
    "answer-cut",
    "NOTICE",
    "An answer was incomplete; the caller's connection was reset.",
)
TARGET_DOUBT_CHANGED = _define(
    212,
    "target-doubt-changed",
    "INFO",
    "A target became suspected or is no longer suspected.",
)
TARGET_RATE_LIMIT_CHANGED = _define(
    213,
    "target-rate-limit-changed",
    "NOTICE",
    "A target stated another limit on its request rate, or none any more.",
)
TARGETS_UNREACHABLE = _define(
    214,
    "targets-unreachable",
    "WARNING",
    "The host fails to connect to any target; its peers may still reach them.",
)
TARGETS_REACHABLE = _define(
    215, "targets-reachable", "NOTICE", "The host connects to targets again."
)
RELAY_FAILED = _define(
    216,
    "relay-failed",
    "INFO",
    "A peer asked for a connection to a target that this host could not reach.",
)
TARGET_LEAVES = _define(
    217,
    "target-leaves",
    "NOTICE",
    "The entry learnt that a target leaves, from the configuration or an answer.",
)
STOP_PLANNED = _define(
    227,
    "stop-planned",
    "NOTICE",
    "A stopping entry states until when it passes requests of a kind on.",
)
REQUEST_ENDED_IN_STOP = _define(
    225,
    "request-ended-in-stop",
    "NOTICE",
    "A stopping entry finished, refused or gave up a request.",
)
SLOT_RETURNED = _define(
    218,
    "slot-returned",
    "NOTICE",
    "A granted slot was given back unused, as the host may not use its target.",
)
TARGET_PAUSED = _define(
    219,
    "target-paused",
    "NOTICE",
    "A target refused a request and takes nothing from this host for some time.",
)
PAUSE_UNREADABLE = _define(
    220,
    "pause-unreadable",
    "WARNING",
    "A target stated its pause in a way that was not taken as it stands.",
)
BROKER_HANDED_OVER = _define(
    260,
    "broker-handed-over",
    "NOTICE",
    "Another entry has become the broker of a shard.",
)
BROKER_STARTED = _define(
    261, "broker-started", "NOTICE", "The entry has become the broker of a shard."
)
SLOT_RECLAIMED = _define(
    262,
    "slot-reclaimed",
    "WARNING",
    "No release of a slot arrived in time; the slot was reclaimed.",
)

# 270-279: idempotency keys.
KEYS_FULL = _define(
    270, "keys-full", "WARNING", "The key table is full; new keys are refused."
)
KEY_REPORT_LOST = _define(
    271,
    "key-report-lost",
    "WARNING",
    "The outcome of a run could not be reported to the key's owner.",
)
KEY_PEER_SILENT = _define(
    272, "key-peer-silent", "WARNING", "An owner or witness of keys does not respond."
)
KEY_PEER_HEARD = _define(
    273, "key-peer-heard", "NOTICE", "An owner or witness of keys responds again."
)

# 280-289: accounts.
ACCOUNT_REFUSED = _define(
    285,
    "account-refused",
    "NOTICE",
    "Requests of an account were refused, as it is over its quota or as neither of "
    "its keepers answers.",
)

# 300-399: the agent.
CONFIGURATION_APPLIED = _define(
    300, "configuration-applied", "INFO", "A newer configuration has been applied."
)
LOG_SERVICE_AWAY = _define(
    301, "log-service-away", "WARNING", "The platform's log service does not respond."
)
LOG_SERVICE_BACK = _define(
    302, "log-service-back", "NOTICE", "The platform's log service responds again."
)
RECORD_VOID = _define(
    303,
    "record-void",
    "NOTICE",
    "A record is invalid or lost a race with another one; it has no effect.",
)
SNAPSHOT_APPENDED = _define(
    304, "snapshot-appended", "INFO", "A snapshot was appended to the log."
)
PEER_STATE_CHANGED = _define(
    305,
    "peer-state-changed",
    "NOTICE",
    "The state of a peer, as seen by this agent, changed.",
)

HOST_LIST_AWAY = _define(
    306,
    "host-list-away",
    "WARNING",
    "The host list does not respond; the last known list stays in use.",
)
HOST_LIST_BACK = _define(
    307, "host-list-back", "NOTICE", "The host list responds again."
)

# 310-349: the agent's configuration.
ENTRY_CONFIGURED = _define(
    310, "entry-configured", "INFO", "A complete configuration was sent to the entry."
)
LOG_BEHIND = _define(
    311,
    "log-behind",
    "ERROR",
    "The log ends before the applied configuration, which stays in effect.",
)
SNAPSHOT_MISSING = _define(
    312, "snapshot-missing", "ERROR", "The log was truncated and contains no snapshot."
)
SNAPSHOT_DIFFERS = _define(
    313,
    "snapshot-differs",
    "ERROR",
    "A snapshot in the log differs from the replayed state.",
)
STARTUP_GATE_OPENED = _define(
    314,
    "startup-gate-opened",
    "NOTICE",
    "A starting host has recovered its configuration and serves it from now on.",
)
CONFIGURATION_UNREADABLE = _define(
    315,
    "configuration-unreadable",
    "ERROR",
    "The newest configuration is invalid; the previous one, if any, stays in effect.",
)
CONFIGURATION_READABLE = _define(
    316,
    "configuration-readable",
    "NOTICE",
    "The newest configuration is valid again.",
)
