"""Decisions about client accounts: their keys, ranks of their requests and quotas."""
