"""Framed links between controllers: each sends its heartbeat to every other one."""

import logging
import socket
import threading
import time
from collections.abc import Callable

from quinceslip.protocol import frames

log = logging.getLogger(__name__)

#: a link without a frame for so long is closed: heartbeats come every second
SILENCE_TIMEOUT_S = 6.0
#: time limit to connect to a peer, and to send one frame
SEND_TIMEOUT_S = 1.0
#: pause after a connection that could not be accepted
ACCEPT_PAUSE_S = 0.2
#: connections that may wait to be accepted. Only controllers come here, 64 at the most, and one that is turned away
#: connects again for its next heartbeat: the number of machines has no part in it.
LISTEN_BACKLOG = 128

PeerFrame = frames.PeerHeartbeat | frames.PeerObservations


def _read(connection: socket.socket, count: int) -> bytes:
    """So many bytes; raises `EOFError` where the link ends before, `OSError` where it is broken or silent."""
    data = b""
    # Bound: `count`, since each turn adds a byte at least.
    while len(data) < count:
        received = connection.recv(count - len(data))
        if not received:
            raise EOFError
        data += received
    return data


class PeerServer:
    """Takes frames from peers, each link in a thread; anything else ends the link and nothing more."""

    def __init__(self, address: tuple[str, int], max_connections: int, on_frame: Callable[[PeerFrame], None]) -> None:
        """Begin to listen; raises `OSError` where the address can't be had."""
        self._on_frame = on_frame
        self._free_links = threading.BoundedSemaphore(max_connections)
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        threading.Thread(target=self._accept, name="peers", daemon=True).start()

    def _accept(self) -> None:
        # Bound: none, it is the life of the thread.
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError as error:
                log.error("peer link not accepted error=%s", error)
                time.sleep(ACCEPT_PAUSE_S)
                continue
            if not self._free_links.acquire(blocking=False):
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
            log.debug("peer link ended error=%s", error)
        finally:
            self._free_links.release()

    def _read_frames(self, connection: socket.socket) -> None:
        """Hand on each frame; raises `FrameError`, `OSError`, `EOFError`."""
        # Bound: none, it is the life of the link; a silent one ends.
        while True:
            kind, length = frames.read_header(_read(connection, frames.HEADER.size))
            frame = frames.read_frame(kind, _read(connection, length))
            if frame is not None:
                self._on_frame(frame)


class PeerLink:
    """Sends the newest heartbeat to one peer; older ones are not worth keeping."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._frame = b""
        self._frame_set = threading.Event()
        self._connection: socket.socket | None = None
        threading.Thread(target=self._run, name=f"peer-{address[0]}", daemon=True).start()

    def send(self, frame: bytes) -> None:
        """Send a frame as soon as the one before is sent, unless a newer one comes meanwhile."""
        self._frame = frame
        self._frame_set.set()

    def _run(self) -> None:
        # Bound: none, it is the life of the thread.
        while True:
            self._frame_set.wait()
            self._frame_set.clear()
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
