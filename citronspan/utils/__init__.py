"""Helpers that know nothing of proxying."""
