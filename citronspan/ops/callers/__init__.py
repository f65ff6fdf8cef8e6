"""Connections to callers, and the path of a request from receipt to answer."""
