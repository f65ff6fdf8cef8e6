"""Decisions about slots: which request gets which target, waits or is refused.

Takes slot requests and releases of entries, gives grants and refusals. ``broker``
handles the messages of one shard; ``slot_granter`` chooses targets and grants,
``waiting_requests`` decides who waits, ``broker_outcomes`` learns from what came of it,
and ``broker_answers`` holds what is to be sent.
"""
