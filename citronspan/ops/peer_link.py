"""Messages to and from other processes of the fleet, over pynng.

Each process has one pull socket where all its messages arrive, and one push
socket per peer that it talks to. Answers come back on a connection of their own,
so that each direction can fail alone and is seen to.
"""

import contextlib
import threading
import time
from collections.abc import Callable

import logbook
import msgspec
import pynng

from citronspan.core import log_events, result_codes
from citronspan.core.errors import CitronspanError
from citronspan.core.message_base import Message, Outgoing
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope
from citronspan.utils.logs import write_event

SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
MAXIMUM_MESSAGE_BYTES = 4 << 20
RECONNECT_MINIMUM_MILLISECONDS = 50
RECONNECT_MAXIMUM_MILLISECONDS = 5000
# A peer that is heard again is connected to at once, but not more often than this.
REDIAL_SECONDS = 0.2
CONNECTING_SECONDS = 0.5
IDLE_SECONDS = 120.0

_logger = logbook.Logger("peer-link")


class PeerLink:
    """The link of one process to its peers.

    Sending never blocks: a message that cannot be handed to a connection at once
    is reported as not sent, and the sender decides what that means.
    """

    def __init__(self, *, fleet: str, address: str, incarnation: int):
        self.fleet = fleet
        self.address = address
        self.incarnation = incarnation
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.received_messages = 0
        self._lock = threading.Lock()
        self._socket_by_address: dict[str, pynng.Push0] = {}
        self._used_at_by_address: dict[str, float] = {}
        self._dialled_at_by_address: dict[str, float] = {}
        self._stopped = False
        try:
            self._inbox = pynng.Pull0(
                listen=f"tcp://{address}",
                recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
                recv_max_size=MAXIMUM_MESSAGE_BYTES,
            )
        except pynng.NNGException as error:
            raise CitronspanError(
                code=result_codes.ADDRESS_IN_USE, detail=f"{address}: {error}"
            ) from error

    def send(self, to: str, message: Message) -> bool:
        """Send a message without waiting.

        Args:
            to: Peer address of the receiver.
            message: What to send.

        Returns:
            Whether a connection, or one that is being made, took the message. True
            does not mean that the peer has it.
        """
        data = encode_envelope(
            Envelope(
                fleet=self.fleet,
                sender=self.address,
                incarnation=self.incarnation,
                body=message,
            )
        )
        socket = self._find_socket(to)
        if socket is None:
            return False
        if not socket.pipes and not self._is_connecting(to):
            return False
        try:
            socket.send(data, block=False)
        except pynng.NNGException:
            # Ignored: the answer tells the sender, which has its own way on.
            return False
        self.sent_bytes += len(data)
        self.sent_messages += 1
        return True

    def send_all(self, outgoing: list[Outgoing]) -> None:
        """Send each message; losses are left to the receivers' timeouts."""
        for item in outgoing:
            self.send(item.to, item.message)

    def connect(self, to: str) -> None:
        """Begin to connect, so that a later send finds a connection."""
        self._find_socket(to)

    def is_connected(self, to: str) -> bool:
        """Return whether a connection to the peer stands."""
        socket = self._find_socket(to)
        return socket is not None and bool(socket.pipes)

    def receive_forever(self, handle: Callable[[Envelope], None]) -> None:
        """Hand each message to a function until the link is closed.

        Args:
            handle: Takes the envelope. What it raises is logged and dropped.
        """
        while not self._stopped:
            try:
                data = self._inbox.recv()
            except pynng.Closed:
                # Ignored: the link was closed by this process.
                return
            except pynng.NNGException as error:
                write_event(_logger, log_events.MESSAGE_DROPPED, reason=str(error))
                continue
            self.received_bytes += len(data)
            self.received_messages += 1
            self._handle_data(data, handle)

    def close_idle(self) -> None:
        """Close connections that were not used for ``IDLE_SECONDS``."""
        bound = time.monotonic() - IDLE_SECONDS
        with self._lock:
            idle = [to for to, at in self._used_at_by_address.items() if at < bound]
            sockets = [self._socket_by_address.pop(to) for to in idle]
            for to in idle:
                del self._used_at_by_address[to]
                self._dialled_at_by_address.pop(to, None)
        for socket in sockets:
            socket.close()

    def close(self) -> None:
        """Close all sockets; ``receive_forever`` returns."""
        self._stopped = True
        self._inbox.close()
        with self._lock:
            sockets = list(self._socket_by_address.values())
            self._socket_by_address.clear()
        for socket in sockets:
            with contextlib.suppress(pynng.NNGException):
                socket.close()

    def _find_socket(self, to: str) -> pynng.Push0 | None:
        if self._stopped:
            return None
        with self._lock:
            self._used_at_by_address[to] = time.monotonic()
            socket = self._socket_by_address.get(to)
            if socket is not None:
                return socket
            socket = self._dial(to)
            self._socket_by_address[to] = socket
            return socket

    def _is_connecting(self, to):
        """Return whether a first connection may still come about.

        The first message to a peer then waits in the socket's buffer; refusing it
        would make every new peer look unreachable.
        """
        dialled_at = self._dialled_at_by_address.get(to, float("-inf"))
        return time.monotonic() < dialled_at + CONNECTING_SECONDS

    def _dial(self, to):
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MINIMUM_MILLISECONDS,
            reconnect_time_max=RECONNECT_MAXIMUM_MILLISECONDS,
        )
        socket.dial(f"tcp://{to}", block=False)
        self._dialled_at_by_address[to] = time.monotonic()
        return socket

    def _redial(self, to: str) -> None:
        """Connect at once to a peer that is heard but not connected to.

        A peer that was away is dialled ever more rarely, since dialling costs
        processor time; its first message shows that it is back.
        """
        with self._lock:
            old = self._socket_by_address.get(to)
            if self._stopped or old is None or old.pipes:
                return
            if time.monotonic() < self._dialled_at_by_address[to] + REDIAL_SECONDS:
                return
            self._socket_by_address[to] = self._dial(to)
        with contextlib.suppress(pynng.NNGException):
            old.close()

    def _handle_data(self, data, handle):
        try:
            envelope = decode_envelope(data)
            if envelope.fleet != self.fleet:
                raise ValueError(f"envelope of fleet {envelope.fleet!r}")
            self._redial(envelope.sender)
            handle(envelope)
        except (msgspec.MsgspecError, ValueError) as error:
            write_event(_logger, log_events.MESSAGE_DROPPED, reason=str(error))
        except Exception:
            _logger.exception("handler of a peer message raised")
            write_event(_logger, log_events.MESSAGE_DROPPED, reason="handler raised")
