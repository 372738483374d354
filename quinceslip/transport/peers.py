"""Framed TCP links between controllers: each sends its heartbeats to every other one."""

import logging
import socket
import threading
import time
from collections.abc import Callable

from quinceslip.protocol import frames

log = logging.getLogger(__name__)

#: a link that receives nothing for this long is closed; heartbeats come every second
SILENCE_TIMEOUT_S = 6.0
#: time limit for connecting to a peer, and for sending a frame
SEND_TIMEOUT_S = 1.0
#: pause after an error of `accept`
ACCEPT_PAUSE_S = 0.2
#: connections that may wait to be accepted. Only controllers connect here, at most 64 whatever the number of machines,
#: and a rejected one connects again for its next heartbeat
LISTEN_BACKLOG = 128

PeerFrame = frames.PeerHeartbeat | frames.PeerObservations


def _read_exactly(connection: socket.socket, count: int) -> bytes:
    """Read `count` bytes; raises `EOFError` if the peer closes the link before, `OSError` on errors and timeouts."""
    data = b""
    # Bound: `count`, since each iteration adds at least one byte.
    while len(data) < count:
        received = connection.recv(count - len(data))
        if not received:
            raise EOFError
        data += received
    return data


class PeerServer:
    """Receives frames from peers, with a thread for each link. Malformed data only closes its link."""

    def __init__(self, address: tuple[str, int], max_connections: int, on_frame: Callable[[PeerFrame], None]) -> None:
        """Start listening; raises `OSError` if the address can't be bound."""
        self._on_frame = on_frame
        self._link_slots = threading.BoundedSemaphore(max_connections)
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        threading.Thread(target=self._accept, name="peers", daemon=True).start()

    def _accept(self) -> None:
        # Bound: none, it runs as long as the thread.
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                log.error("failed to accept a peer link error=%s", error)
                time.sleep(ACCEPT_PAUSE_S)
                continue
            if not self._link_slots.acquire(blocking=False):
                connection.close()
                continue
            threading.Thread(target=self._serve, args=(connection,), name="peer-reader", daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection:
                connection.settimeout(SILENCE_TIMEOUT_S)
                self._read_frames(connection)
        except frames.FrameError as error:
            log.error("malformed frame from a peer: %s", error)
        except (OSError, EOFError) as error:
            log.debug("peer link closed error=%s", error)
        finally:
            self._link_slots.release()

    def _read_frames(self, connection: socket.socket) -> None:
        """Pass each frame to `on_frame`; raises `FrameError`, `OSError`, `EOFError`."""
        # Bound: none, it runs as long as the link, which times out when silent.
        while True:
            kind, length = frames.read_header(_read_exactly(connection, frames.HEADER.size))
            frame = frames.read_frame(kind, _read_exactly(connection, length))
            if frame is not None:
                self._on_frame(frame)


class PeerLink:
    """Sends frames to one peer from its own thread; only the newest unsent frame is kept."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._frame = b""
        self._frame_available = threading.Event()
        self._connection: socket.socket | None = None
        threading.Thread(target=self._run, name=f"peer-{address[0]}", daemon=True).start()

    def send(self, frame: bytes) -> None:
        """Send a frame once the previous one is sent, unless a newer one replaces it before."""
        self._frame = frame
        self._frame_available.set()

    def _run(self) -> None:
        # Bound: none, it runs as long as the thread.
        while True:
            self._frame_available.wait()
            self._frame_available.clear()
            try:
                self._send(self._frame)
            except OSError as error:
                log.debug("frame not sent peer=%s error=%s", self._address, error)
                self._disconnect()

    def _send(self, frame: bytes) -> None:
        if self._connection is None:
            self._connection = socket.create_connection(self._address, SEND_TIMEOUT_S)
            self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection.sendall(frame)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
