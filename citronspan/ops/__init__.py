"""Threads, sockets and HTTP servers that run the logic of the core package."""
