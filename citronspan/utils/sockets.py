"""Asks the system for the state of a connection."""

import fcntl
import socket
import termios


def has_unsent_bytes(sock: socket.socket) -> bool:
    """Return whether the other side's system has not yet received all that was sent.

    This stays so if the connection has ended meanwhile.
    """
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # Ignored: the socket was closed.
        return False
    return any(count)
