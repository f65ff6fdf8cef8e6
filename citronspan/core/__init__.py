"""Decisions and the data they work on, without sockets or threads."""
