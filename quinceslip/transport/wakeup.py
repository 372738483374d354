"""Wakes the thread that waits in a selector."""

import socket


class Wakeup:
    """A socket that becomes readable when `wake` is called, from any thread; many calls may count as one."""

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        self._signalled = False

    def fileno(self) -> int:
        """For the selector."""
        return self._receiver.fileno()

    def wake(self) -> None:
        """Let the selector's wait end."""
        if self._signalled:
            return
        self._signalled = True
        try:
            self._sender.send(b"\0")
        except OSError:
            pass  # so many signals are on their way that one more changes nothing, or the loop has ended

    def clear(self) -> None:
        """Take the signals back. What was handed over before a `wake` is to be looked at after this."""
        try:
            self._receiver.recv(4096)
        except BlockingIOError:
            pass
        self._signalled = False

    def close(self) -> None:
        """Free the sockets; a `wake` afterwards does nothing."""
        self._receiver.close()
        self._sender.close()
