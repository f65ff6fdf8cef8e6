"""Decisions about slots: which request gets which target, waits or is refused.

Takes slot requests and releases of entries, gives grants and refusals.
"""
