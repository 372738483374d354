"""Wakes a thread that waits in a selector."""

import socket


class Wakeup:
    """A socket that becomes readable when any thread calls `wake`; several calls may be merged into one event."""

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        self._signalled = False

    def fileno(self) -> int:
        """Return the file descriptor for the selector."""
        return self._receiver.fileno()

    def wake(self) -> None:
        """Make the selector return."""
        if self._signalled:
            return
        self._signalled = True
        try:
            self._sender.send(b"\0")
        except OSError:
            pass  # the buffer is full, so the selector wakes anyway; or the loop has ended

    def clear(self) -> None:
        """Reset the event. Data handed over before a `wake` must be checked after this call."""
        try:
            self._receiver.recv(4096)
        except BlockingIOError:
            pass
        self._signalled = False

    def close(self) -> None:
        """Close the sockets; a later `wake` does nothing."""
        self._receiver.close()
        self._sender.close()
