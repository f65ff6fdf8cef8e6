"""Decisions about client accounts: their keys, and the rank of their requests."""
