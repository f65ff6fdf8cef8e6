"""A proxy fleet for targets that fail grayly.

The packages import one way only: ``utils`` imports none of the others, ``core``
holds the decisions without input or output, ``ops`` connects the decisions to
sockets and threads, and ``scripts`` holds the thin entry points.
"""
