"""Numbered log events.

Each line of a log carries one of these numbers, so that alerts need not match on
text. The table in docs/LOG_EVENTS.md is written from this module and a test holds
it to it.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEvent:
    """One numbered event.

    Attributes:
        number: The stable number, unique in the project.
        name: A short name in kebab case.
        level: Name of the logbook level.
        meaning: One sentence for the person who reads the log.
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
PROCESS_STARTED = _define(100, "process-started", "INFO", "The process serves.")
PROCESS_STOPPING = _define(101, "process-stopping", "INFO", "A stop was asked for.")
PROCESS_STOPPED = _define(102, "process-stopped", "INFO", "The process ends.")
STARTUP_FAILED = _define(103, "startup-failed", "ERROR", "The process cannot start.")
MESSAGE_DROPPED = _define(
    104, "message-dropped", "WARNING", "A peer's message cannot be decoded or handled."
)
BACKGROUND_TASK_FAILED = _define(
    105, "background-task-failed", "ERROR", "A background task raised; it goes on."
)
SETTINGS_RELOADED = _define(
    106, "settings-reloaded", "INFO", "Other settings are in force."
)
SETTINGS_REFUSED = _define(
    107, "settings-refused", "ERROR", "New settings are not valid; the old ones hold."
)
LINES_LEFT_OUT = _define(
    108, "lines-left-out", "WARNING", "Lines were not written, to bound the volume."
)

# 200-299: the entry.
REQUEST_REFUSED = _define(
    200, "request-refused", "NOTICE", "The entry answered a request by itself."
)
TARGET_STATE_CHANGED = _define(
    201, "target-state-changed", "NOTICE", "A target's state changed."
)
FLOOR_REACHED = _define(
    202, "floor-reached", "WARNING", "The floor keeps suspected targets in use."
)
DRAIN_BOUND_REACHED = _define(
    203, "drain-bound-reached", "ERROR", "Requests were still running at the bound."
)
BROKER_UNREACHABLE = _define(
    204, "broker-unreachable", "WARNING", "The entry chooses targets by itself."
)
REQUEST_QUARANTINED = _define(
    205, "request-quarantined", "WARNING", "A request coincided with target crashes."
)
REQUEST_ANSWERED = _define(
    206, "request-answered", "INFO", "A target's answer was passed on."
)
REQUEST_FAILED = _define(
    207,
    "request-failed",
    "NOTICE",
    "A target's own failure was passed on.",
)
ATTEMPT_FAILED = _define(
    208, "attempt-failed", "NOTICE", "An attempt at a target did not go well."
)
SLOT_GRANTED = _define(
    209, "slot-granted", "INFO", "A broker gave a request a slot of a target."
)
SLOT_REFUSED = _define(
    210, "slot-refused", "INFO", "A broker refused a request a slot."
)
ANSWER_CUT = _define(
    211, "answer-cut", "NOTICE", "An answer ended before its end; its caller was reset."
)
TARGET_DOUBT_CHANGED = _define(
    212, "target-doubt-changed", "INFO", "A target came to be suspected, or no longer."
)
BROKER_HANDED_OVER = _define(
    260, "broker-handed-over", "NOTICE", "Another entry is the broker of a shard now."
)
BROKER_STARTED = _define(
    261, "broker-started", "NOTICE", "The entry is the broker of a shard now."
)
SLOT_RECLAIMED = _define(
    262, "slot-reclaimed", "WARNING", "A slot's release did not come; it is free again."
)

# 270-279: idempotency keys.
KEYS_FULL = _define(
    270, "keys-full", "WARNING", "New keys are refused; the memory of keys is full."
)
KEY_REPORT_LOST = _define(
    271, "key-report-lost", "WARNING", "An owner never learnt what a run came to."
)
KEY_PEER_SILENT = _define(
    272, "key-peer-silent", "WARNING", "An owner or a witness of keys is silent."
)
KEY_PEER_HEARD = _define(
    273, "key-peer-heard", "NOTICE", "An owner or a witness is heard again."
)

# 300-399: the agent.
CONFIGURATION_APPLIED = _define(
    300, "configuration-applied", "INFO", "A newer configuration is in force."
)
LOG_SERVICE_AWAY = _define(
    301, "log-service-away", "WARNING", "The platform's log does not answer."
)
LOG_SERVICE_BACK = _define(
    302, "log-service-back", "NOTICE", "The platform's log answers again."
)
RECORD_VOID = _define(
    303, "record-void", "NOTICE", "A record lost a race or is not valid; it is void."
)
SNAPSHOT_APPENDED = _define(
    304, "snapshot-appended", "INFO", "A snapshot was appended to the log."
)
PEER_STATE_CHANGED = _define(
    305, "peer-state-changed", "NOTICE", "The view of a peer changed."
)

HOST_LIST_AWAY = _define(
    306,
    "host-list-away",
    "WARNING",
    "The host list gives no answer; the last one holds.",
)
HOST_LIST_BACK = _define(
    307, "host-list-back", "NOTICE", "The host list answers again."
)

# 310-349: the agent's configuration.
ENTRY_CONFIGURED = _define(
    310, "entry-configured", "INFO", "The entry was sent a whole configuration."
)
LOG_BEHIND = _define(
    311, "log-behind", "ERROR", "The log ends before what is in force; nothing reverts."
)
SNAPSHOT_MISSING = _define(
    312, "snapshot-missing", "ERROR", "The log was truncated and holds no snapshot."
)
SNAPSHOT_DIFFERS = _define(
    313, "snapshot-differs", "ERROR", "A snapshot in the log is not what replay gives."
)
