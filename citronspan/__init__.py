"""A proxy fleet for targets with gray failures.

Imports between the packages go in one direction only: ``utils`` imports none of the
others, ``core`` makes the decisions without input or output, ``ops`` connects them to
sockets and threads, and ``scripts`` holds the thin entry points.
"""
