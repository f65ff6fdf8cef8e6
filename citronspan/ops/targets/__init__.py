"""Attempts at targets: connections, relays, answers, what targets say of themselves."""
