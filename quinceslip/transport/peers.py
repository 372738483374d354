"""Framed links between controllers: each node sends its heartbeat to every other."""

import logging
import socket
import threading
from collections.abc import Callable

from quinceslip.protocol import frames

log = logging.getLogger(__name__)

SILENCE_S = 6.0
#: connections that may wait to be accepted. Only controllers come here, 64 at the most, and one that is turned away
#: connects again for its next heartbeat: the number of machines has no part in it.
LISTEN_BACKLOG = 128


def _read(connection: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        piece = connection.recv(count - len(data))
        if not piece:
            raise EOFError
        data += piece
    return data


class PeerServer:
    """Takes frames from peers; anything else ends the connection and nothing more."""

    def __init__(
        self,
        address: tuple[str, int],
        max_connections: int,
        heard: Callable[[frames.PeerHeartbeat | frames.PeerObservations], None],
    ) -> None:
        self.heard = heard
        self.slots = threading.BoundedSemaphore(max_connections)
        self.listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        threading.Thread(target=self._accept, name="peers", daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError as error:
                log.error("peer link: %s", error)
                threading.Event().wait(0.2)
                continue
            if not self.slots.acquire(blocking=False):
                connection.close()
                continue
            threading.Thread(target=self._serve, args=(connection,), name="peer-reader", daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            connection.settimeout(SILENCE_S)
            while True:
                kind, length = frames.read_header(_read(connection, frames.HEADER.size))
                body = _read(connection, length)
                said = frames.read_frame(kind, body)
                if said is not None:
                    self.heard(said)
        except frames.FrameError as error:
            log.error("malformed frame from a peer: %s", error)
        except (OSError, EOFError) as error:
            log.debug("peer link ended: %s", error)
        finally:
            connection.close()
            self.slots.release()


class PeerLink:
    """Sends the newest heartbeat to one peer; older ones are not worth keeping."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.frame: bytes | None = None
        self.wake = threading.Event()
        threading.Thread(target=self._run, name=f"peer-{address[0]}", daemon=True).start()

    def send(self, frame: bytes) -> None:
        self.frame = frame
        self.wake.set()

    def _run(self) -> None:
        connection: socket.socket | None = None
        while True:
            self.wake.wait()
            self.wake.clear()
            frame = self.frame
            if frame is None:
                continue
            try:
                if connection is None:
                    connection = socket.create_connection(self.address, 1.0)
                    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.sendall(frame)
            except OSError as error:
                log.debug("peer %s: %s", self.address, error)
                if connection is not None:
                    connection.close()
                    connection = None
