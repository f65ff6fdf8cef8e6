"""Message transport between the processes of the fleet, over pynng.

Each process receives all messages on one pull socket and has one push socket for each
peer that it sends to. Answers arrive over a separate connection, so that a failure of
one direction affects only that direction and is detected.

An open connection may go silent: nothing is reset, and what is sent over it is lost.
Whoever misses answers has the connection to that peer replaced. The peer sees the new
connection and replaces its own as well, since either direction may be the silent one.
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
from citronspan.core.message_base import Message, Multicast, Outgoing
from citronspan.core.messages import Envelope, decode_envelope, encode_envelope
from citronspan.utils.logs import write_event

SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
MAXIMUM_MESSAGE_BYTES = 4 << 20
RECONNECT_MINIMUM_MILLISECONDS = 50
RECONNECT_MAXIMUM_MILLISECONDS = 5000
# Minimum time between two immediate connects to a peer that is reachable again.
MINIMUM_REDIAL_INTERVAL_SECONDS = 0.2
CONNECT_GRACE_SECONDS = 0.5

MINIMUM_CONNECTION_SECONDS = 2.0
"""Age below which a connection is not replaced. It is longer than a message to another
region takes, so that two peers do not replace their connections by turns."""

IDLE_TIMEOUT_SECONDS = 120.0

NATIVE_THREADS_BY_PARAMETER = {
    pynng.lib.NNG_INIT_NUM_TASK_THREADS: 2,
    pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS: 1,
    pynng.lib.NNG_INIT_NUM_POLLER_THREADS: 1,
    pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS: 1,
}
"""Threads of the messaging library by purpose. Its default follows the cores of the
machine, of which a host may use less than one."""

_logger = logbook.Logger("peer-link")


class PeerLink:
    """Connections of a process to its peers.

    Sending never blocks. If no connection accepts a message at once, the message is
    reported as not sent and the sender decides how to proceed.

    Attributes:
        fleet: Name of the fleet.
        address: Peer address of this process.
        incarnation: Incarnation of this process.
        sent_bytes: Size of all sent messages in bytes.
        sent_messages: Number of sent messages.
        received_bytes: Size of all received messages in bytes.
        received_messages: Number of received messages.
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
        # None for an address to which nothing can be sent.
        self._socket_by_address: dict[str, pynng.Push0 | None] = {}
        self._used_at_by_address: dict[str, float] = {}
        self._dialled_at_by_address: dict[str, float] = {}
        self._pipe_by_sender: dict[str, int] = {}
        self._stopped = False
        _limit_native_threads()
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
        """Send a message without blocking.

        Args:
            to: Peer address of the receiver.
            message: The message.

        Returns:
            Whether an established or pending connection accepted the message. True
            does not mean that the peer received it.
        """
        data = self._encode(message)
        return data is not None and self._send_data(to, data)

    def _encode(self, message) -> bytes | None:
        """Encode a message; drop one that cannot be encoded and return None."""
        envelope = Envelope(
            fleet=self.fleet,
            sender=self.address,
            incarnation=self.incarnation,
            body=message,
        )
        try:
            return encode_envelope(envelope)
        except (msgspec.MsgspecError, ValueError, TypeError, OverflowError) as error:
            reason = f"{type(message).__name__} cannot be encoded: {error}"
            write_event(_logger, log_events.MESSAGE_DROPPED, reason=reason)
            return None

    def _send_data(self, to, data) -> bool:
        socket = self._find_socket(to)
        if socket is None:
            return False
        if not socket.pipes and not self._is_connecting(to):
            return False
        try:
            socket.send(data, block=False)
        except pynng.NNGException:
            # Ignored: the return value reports the failure to the sender.
            return False
        self.sent_bytes += len(data)
        self.sent_messages += 1
        return True

    def send_all(self, outgoing: list[Outgoing]) -> None:
        """Send each message; the receivers' timeouts handle messages that are lost."""
        for item in outgoing:
            self.send(item.to, item.message)

    def send_multicasts(self, multicasts: list[Multicast]) -> None:
        """Send each message to all of its receivers."""
        for multicast in multicasts:
            data = self._encode(multicast.message)
            if data is None:
                continue
            for to in multicast.receivers:
                self._send_data(to, data)

    def connect(self, to: str) -> None:
        """Start to connect to a peer, so that a later send finds a connection."""
        self._find_socket(to)

    def is_connected(self, to: str) -> bool:
        """Return whether a connection to the peer is established."""
        socket = self._find_socket(to)
        return socket is not None and bool(socket.pipes)

    def replace_connection(self, to: str) -> bool:
        """Connect anew to a peer whose answers are missing.

        Messages that wait in the old connection are lost. Nothing is done while the
        connection is younger than ``MINIMUM_CONNECTION_SECONDS``.

        Args:
            to: Its peer address.

        Returns:
            Whether a new connection was begun.
        """
        with self._lock:
            old = self._socket_by_address.get(to)
            if self._stopped or old is None:
                return False
            age_seconds = time.monotonic() - self._dialled_at_by_address[to]
            if age_seconds < MINIMUM_CONNECTION_SECONDS:
                return False
            self._socket_by_address[to] = self._dial(to)
        with contextlib.suppress(pynng.NNGException):
            old.close()
        return True

    def receive_forever(self, handle: Callable[[Envelope], None]) -> None:
        """Pass each received message to a handler until the link is closed.

        Args:
            handle: Called with the envelope of each message. An exception that it
                raises is logged, and the message is dropped.
        """
        while not self._stopped:
            try:
                message = self._inbox.recv_msg()
            except pynng.Closed:
                # Ignored: the link was closed by this process.
                return
            except pynng.NNGException as error:
                write_event(_logger, log_events.MESSAGE_DROPPED, reason=str(error))
                continue
            data = message.bytes
            self.received_bytes += len(data)
            self.received_messages += 1
            self._handle_data(data, message.pipe, handle)

    def close_idle(self) -> None:
        """Close connections that have not been used for ``IDLE_TIMEOUT_SECONDS``."""
        idle_since = time.monotonic() - IDLE_TIMEOUT_SECONDS
        with self._lock:
            idle = [
                to for to, at in self._used_at_by_address.items() if at < idle_since
            ]
            sockets = [self._socket_by_address.pop(to) for to in idle]
            for to in idle:
                del self._used_at_by_address[to]
                self._dialled_at_by_address.pop(to, None)
                self._pipe_by_sender.pop(to, None)
        for socket in sockets:
            if socket is not None:
                socket.close()

    def close(self) -> None:
        """Close all sockets; ``receive_forever`` returns."""
        self._stopped = True
        self._inbox.close()
        with self._lock:
            sockets = list(self._socket_by_address.values())
            self._socket_by_address.clear()
        for socket in sockets:
            if socket is None:
                continue
            with contextlib.suppress(pynng.NNGException):
                socket.close()

    def _find_socket(self, to: str) -> pynng.Push0 | None:
        if self._stopped:
            return None
        with self._lock:
            self._used_at_by_address[to] = time.monotonic()
            if to not in self._socket_by_address:
                self._socket_by_address[to] = self._dial(to)
            return self._socket_by_address[to]

    def _is_connecting(self, to):
        """Return whether a recently started connect may still succeed.

        The first message to a peer then waits in the buffer of the socket. If it were
        refused, every new peer would appear unreachable.
        """
        dialled_at = self._dialled_at_by_address.get(to, float("-inf"))
        return time.monotonic() < dialled_at + CONNECT_GRACE_SECONDS

    def _dial(self, to):
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MINIMUM_MILLISECONDS,
            reconnect_time_max=RECONNECT_MAXIMUM_MILLISECONDS,
        )
        self._dialled_at_by_address[to] = time.monotonic()
        try:
            socket.dial(f"tcp://{to}", block=False)
        except (pynng.NNGException, ValueError) as error:
            socket.close()
            reason = f"no peer can have the address {to!r}: {error}"
            write_event(_logger, log_events.MESSAGE_DROPPED, reason=reason)
            return None
        return socket

    def _redial(self, to: str) -> None:
        """Connect at once to a peer that sent a message but is not connected.

        The reconnect interval grows while a peer is unreachable, since dialling costs
        processor time. The peer's first message shows that it is reachable again.
        """
        with self._lock:
            old = self._socket_by_address.get(to)
            if self._stopped or old is None or old.pipes:
                return
            if (
                time.monotonic()
                < self._dialled_at_by_address[to] + MINIMUM_REDIAL_INTERVAL_SECONDS
            ):
                return
            self._socket_by_address[to] = self._dial(to)
        with contextlib.suppress(pynng.NNGException):
            old.close()

    def _follow_new_connection(self, sender, pipe):
        """Replace the own connection to a sender that has connected anew."""
        if pipe is None:
            return
        with self._lock:
            previous_pipe_id = self._pipe_by_sender.get(sender, pipe.id)
            self._pipe_by_sender[sender] = pipe.id
        if pipe.id != previous_pipe_id:
            self.replace_connection(sender)

    def _handle_data(self, data, pipe, handle):
        try:
            envelope = decode_envelope(data)
            if envelope.fleet != self.fleet:
                raise ValueError(f"message from another fleet: {envelope.fleet!r}")
            self._redial(envelope.sender)
            self._follow_new_connection(envelope.sender, pipe)
            handle(envelope)
        except (msgspec.MsgspecError, ValueError) as error:
            write_event(_logger, log_events.MESSAGE_DROPPED, reason=str(error))
        except Exception:
            _logger.exception("handler of a peer message raised an exception")
            write_event(
                _logger,
                log_events.MESSAGE_DROPPED,
                reason="handler raised an exception",
            )


def _limit_native_threads():
    """Set the threads of the library, which starts them with the first socket."""
    for parameter, threads in NATIVE_THREADS_BY_PARAMETER.items():
        pynng.lib.nng_init_set_parameter(parameter, threads)
