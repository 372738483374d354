"""A bounded pool of threads that serve connections: users and workers apart, bounded for each client address."""

import itertools
import logging
import threading
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from quinceslip.transport.connections import Connection

log = logging.getLogger(__name__)

#: no site has more threads for its requests: they compute in turn, and wait for slow clients only
MAX_REQUEST_THREADS = 256
#: threads that are started, or kept idle, whatever their connections do: more only contend for the interpreter
RUNNABLE_THREADS = 8
#: part of the threads that serve only users, and part that serve only connections which are known as workers'
RESERVED_SHARE = 0.25
#: part of the threads of its class that one client address may take
ADDRESS_SHARE = 0.5
#: a thread that has waited so long for its client is taken from it when another connection waits for a thread
SLOW_CLIENT_US = 10_000


@dataclass
class _ConnectionClass:
    """Users' or workers' connections: how many threads they may take, those they have, and who waits for one."""

    max_threads: int
    busy: int = 0
    busy_by_address: Counter[str] = field(default_factory=Counter)
    # Only addresses with a connection that waits; the first is next.
    waiting: OrderedDict[str, deque[Connection]] = field(default_factory=OrderedDict)

    @property
    def max_threads_per_address(self) -> int:
        return max(1, int(self.max_threads * ADDRESS_SHARE))

    def add(self, connection: Connection) -> None:
        """Let a connection wait for a thread."""
        self.waiting.setdefault(connection.host, deque()).append(connection)

    def take(self) -> Connection | None:
        """The next connection that may have a thread, one address after the other."""
        if self.busy >= self.max_threads:
            return None
        # Bound: the addresses at their bound are few, since so many threads of the class are theirs.
        address = next((a for a in self.waiting if self.busy_by_address[a] < self.max_threads_per_address), None)
        if address is None:
            return None
        connections = self.waiting[address]
        connection = connections.popleft()
        if connections:
            self.waiting.move_to_end(address)
        else:
            del self.waiting[address]
        self.busy += 1
        self.busy_by_address[address] += 1
        return connection

    def admissible_count(self) -> int:
        """How many of those that wait may have a thread."""
        of_addresses = (
            min(len(connections), self.max_threads_per_address - self.busy_by_address[address])
            for address, connections in self.waiting.items()
        )
        return min(self.max_threads - self.busy, sum(of_addresses))

    def release(self, address: str) -> None:
        """A connection of this address has given its thread back."""
        self.busy -= 1
        self.busy_by_address[address] -= 1
        if not self.busy_by_address[address]:
            del self.busy_by_address[address]

    def waiting_at_address_bound(self) -> Counter[str]:
        """How many connections wait of each address that has all threads that one may have."""
        return Counter(
            {
                address: len(connections)
                for address, connections in self.waiting.items()
                if self.busy_by_address[address] >= self.max_threads_per_address
            }
        )

    def waiting_count(self) -> int:
        """How many connections wait."""
        return sum(map(len, self.waiting.values()))


class RequestThreads:
    """Calls `serve` with each connection that is submitted, in at most `max_threads` threads started as needed.

    A part of the threads serves only users, another one only workers' connections, and no client address gets more
    than half of those of its class. So slow clients of one address, or of one class, leave threads to the others.
    """

    def __init__(self, max_threads: int, serve: Callable[[Connection], None]) -> None:
        self.max_threads = max_threads
        self._serve = serve
        self._changed = threading.Condition()
        max_threads_per_class = max(1, max_threads - int(max_threads * RESERVED_SHARE))
        self._users = _ConnectionClass(max_threads_per_class)
        self._workers = _ConnectionClass(max_threads_per_class)
        self._threads: set[threading.Thread] = set()
        self._thread_numbers = itertools.count(1)
        self._idle = 0
        self._serving: dict[threading.Thread, Connection] = {}
        self._start_failed = False
        self._stopping = False

    def submit(self, connection: Connection) -> None:
        """Have a connection served as soon as it may have a thread."""
        with self._changed:
            if self._stopping:
                return
            self._class_of(connection).add(connection)
            if self._idle:
                self._idle -= 1  # here, so that the next connection does not count on the same thread
                self._changed.notify()
            elif len(self._threads) < min(self.max_threads, RUNNABLE_THREADS):
                self._start_thread()

    def add_threads(self) -> None:
        """While connections wait, replace the threads that wait for their clients, twice, up to the bound of all.

        Those of a burst of requests that are all there already are not replaced: a few threads serve them faster.
        """
        with self._changed:
            if not self.has_waiting():
                return
            waiting_for_client = sum(connection.waiting_since_us is not None for connection in self._serving.values())
            wanted = min(self.max_threads, RUNNABLE_THREADS + 2 * waiting_for_client)
            if len(self._threads) >= wanted:
                return
            admissible = self._users.admissible_count() + self._workers.admissible_count()
            wanted = min(wanted, len(self._serving) + admissible)
            # Bound: `max_threads`.
            while len(self._threads) < wanted and self._start_thread():
                pass

    def has_waiting(self) -> bool:
        """Whether a connection waits for a thread."""
        return bool(self._users.waiting or self._workers.waiting)

    def slow_connections(self, now_us: int) -> list[Connection]:
        """The users' connections to be closed so that those that wait get a thread: which kept theirs waiting longest.

        Never one of a worker's, nor one whose request is with the actor: that has no thread.
        """
        with self._changed:
            if not self.has_waiting():
                return []
            slow = self._slow_users(now_us - SLOW_CLIENT_US)
            if not slow:
                return []
            if self._users.busy >= self._users.max_threads or self._users.busy + self._workers.busy >= self.max_threads:
                return slow[: self._users.waiting_count() + self._workers.waiting_count()]
            # Only addresses are at their bounds: as many of each as wait of it.
            wanted = self._users.waiting_at_address_bound()
            chosen = []
            for connection in slow:
                if wanted[connection.host] > 0:
                    wanted[connection.host] -= 1
                    chosen.append(connection)
            return chosen

    def stop(self) -> None:
        """Serve nothing more; the threads end when they are done with what they have."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def join(self) -> None:
        """Wait until the threads have ended, after `stop`."""
        for thread in list(self._threads):
            thread.join()

    def _slow_users(self, before_us: int) -> list[Connection]:
        """The users' connections that have kept a thread waiting since then or longer, the longest first."""
        waiting = [
            (since_us, number, connection)
            for number, connection in enumerate(self._serving.values())
            if (since_us := connection.waiting_since_us) is not None and not connection.is_worker
        ]
        return [connection for since_us, _, connection in sorted(waiting) if since_us <= before_us]

    def _class_of(self, connection: Connection) -> _ConnectionClass:
        return self._workers if connection.is_worker else self._users

    def _start_thread(self) -> bool:
        """Start one more thread; False where the system has none left: it is tried again while connections wait."""
        thread = threading.Thread(target=self._run, name=f"request-{next(self._thread_numbers)}", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            if not self._start_failed:  # once for all failures in a row
                log.error("request thread not started threads=%d error=%s", len(self._threads), error)
            self._start_failed = True
            return False
        self._start_failed = False
        self._threads.add(thread)
        return True

    def _run(self) -> None:
        # Bound: none, it is the life of the thread.
        while True:
            with self._changed:
                connection, connection_class = self._wait_for_connection()
            if connection is None:
                return
            try:
                self._serve(connection)
            except Exception:
                log.exception("while serving %s", connection.host)
            with self._changed:
                del self._serving[threading.current_thread()]
                connection_class.release(connection.host)

    def _wait_for_connection(self) -> tuple[Connection | None, _ConnectionClass]:
        """The next connection and the class whose thread it takes; None when this thread is to end."""
        # Bound: none, it waits for clients.
        while not self._stopping:
            for connection_class in (self._workers, self._users):
                connection = connection_class.take()
                if connection is not None:
                    self._serving[threading.current_thread()] = connection
                    return connection, connection_class
            if self._idle >= RUNNABLE_THREADS:
                self._threads.discard(threading.current_thread())
                break
            self._idle += 1
            self._changed.wait()
        return None, self._users
