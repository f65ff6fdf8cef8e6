"""Threads, sockets and HTTP around the decisions of the core package."""
