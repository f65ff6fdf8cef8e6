"""Slots of targets: the brokers of this entry, and the requests to those of others."""
