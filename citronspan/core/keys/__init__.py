"""Decisions about idempotency keys: who may run a request, and what came of it.

Takes claims and reports of entries, owners and witnesses, gives permissions and
results.
"""
