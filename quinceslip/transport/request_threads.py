"""A bounded pool of threads that serve connections, with limits for users, for workers and for each client address."""

import itertools
import logging
import threading
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from quinceslip.transport.connections import Connection

log = logging.getLogger(__name__)

#: upper bound for any site: the threads share one interpreter, and otherwise only wait for slow clients
MAX_REQUEST_THREADS = 256
#: threads that are started or kept idle regardless of slow clients; more would only contend for the interpreter
RUNNABLE_THREADS = 8
#: share of the threads reserved for users, and share reserved for connections known to be workers'
RESERVED_SHARE = 0.25
#: share of the threads of its class that one client address may use
ADDRESS_SHARE = 0.5
#: after waiting this long for its client, a thread may be reclaimed for another connection
SLOW_CLIENT_US = 10_000


@dataclass
class _ConnectionClass:
    """The connections of users or of workers: their thread limit, the threads in use, and the waiting connections."""

    max_threads: int
    busy: int = 0
    busy_by_address: Counter[str] = field(default_factory=Counter)
    # Only addresses with waiting connections; the first one is served next.
    waiting: OrderedDict[str, deque[Connection]] = field(default_factory=OrderedDict)

    @property
    def max_threads_per_address(self) -> int:
        return max(1, int(self.max_threads * ADDRESS_SHARE))

    def enqueue(self, connection: Connection) -> None:
        """Enqueue a connection to wait for a thread."""
        self.waiting.setdefault(connection.host, deque()).append(connection)

    def dequeue(self) -> Connection | None:
        """Assign a thread to the next admissible connection, round-robin by address, and return it; None if none."""
        if self.busy >= self.max_threads:
            return None
        # Bound: few addresses can be at their limit, since each of them then holds that many threads of the class.
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
        """Return how many of the waiting connections may get a thread."""
        admissible_by_address = (
            min(len(connections), self.max_threads_per_address - self.busy_by_address[address])
            for address, connections in self.waiting.items()
        )
        return min(self.max_threads - self.busy, sum(admissible_by_address))

    def release(self, address: str) -> None:
        """Release the thread of a connection of this address."""
        self.busy -= 1
        self.busy_by_address[address] -= 1
        if not self.busy_by_address[address]:
            del self.busy_by_address[address]

    def waiting_at_address_limit(self) -> Counter[str]:
        """Count the waiting connections of each address that has reached its thread limit."""
        return Counter(
            {
                address: len(connections)
                for address, connections in self.waiting.items()
                if self.busy_by_address[address] >= self.max_threads_per_address
            }
        )

    def waiting_count(self) -> int:
        """Return the number of waiting connections."""
        return sum(map(len, self.waiting.values()))


class RequestThreads:
    """Calls `serve` with each submitted connection, in at most `max_threads` threads that are started as needed.

    Some threads are reserved for users, some for workers, and no client address gets more than half of the threads of
    its class. So slow clients of one address, or of one class, leave threads to the others.
    """

    def __init__(self, max_threads: int, serve: Callable[[Connection], None]) -> None:
        self.max_threads = max_threads
        self._serve = serve
        self._condition = threading.Condition()
        max_threads_per_class = max(1, max_threads - int(max_threads * RESERVED_SHARE))
        self._users = _ConnectionClass(max_threads_per_class)
        self._workers = _ConnectionClass(max_threads_per_class)
        self._threads: set[threading.Thread] = set()
        self._thread_numbers = itertools.count(1)
        self._idle_count = 0
        self._serving: dict[threading.Thread, Connection] = {}
        self._start_failed = False
        self._stopping = False

    def submit(self, connection: Connection) -> None:
        """Queue a connection to be served as soon as a thread is available to it."""
        with self._condition:
            if self._stopping:
                return
            self._class_of(connection).enqueue(connection)
            if self._idle_count:
                self._idle_count -= 1  # here, so that the next connection doesn't rely on the same thread
                self._condition.notify()
            elif len(self._threads) < min(self.max_threads, RUNNABLE_THREADS):
                self._start_thread()

    def add_threads(self) -> None:
        """While connections wait, start two threads for each one that waits for its client, up to `max_threads`.

        A burst of complete requests starts no more threads, since a few threads serve it faster.
        """
        with self._condition:
            if not self.has_waiting():
                return
            waiting_for_client = sum(connection.waiting_since_us is not None for connection in self._serving.values())
            target_count = min(self.max_threads, RUNNABLE_THREADS + 2 * waiting_for_client)
            if len(self._threads) >= target_count:
                return
            admissible = self._users.admissible_count() + self._workers.admissible_count()
            target_count = min(target_count, len(self._serving) + admissible)
            # Bound: `max_threads`.
            while len(self._threads) < target_count and self._start_thread():
                pass

    def has_waiting(self) -> bool:
        """Return whether a connection waits for a thread."""
        return bool(self._users.waiting or self._workers.waiting)

    def slow_connections(self, now_us: int) -> list[Connection]:
        """Return the slow connections of users to close so that waiting connections get a thread, slowest first.

        Workers' connections are never returned, nor those whose request waits for the actor: they occupy no thread.
        """
        with self._condition:
            if not self.has_waiting():
                return []
            slow = self._slow_users(now_us - SLOW_CLIENT_US)
            if not slow:
                return []
            if self._users.busy >= self._users.max_threads or self._users.busy + self._workers.busy >= self.max_threads:
                return slow[: self._users.waiting_count() + self._workers.waiting_count()]
            # Only some addresses are at their limit: choose as many of each as it has waiting.
            wanted = self._users.waiting_at_address_limit()
            chosen = []
            for connection in slow:
                if wanted[connection.host] > 0:
                    wanted[connection.host] -= 1
                    chosen.append(connection)
            return chosen

    def stop(self) -> None:
        """Stop serving; each thread ends after its current connection."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()

    def join(self) -> None:
        """Wait until the threads have ended, after `stop`."""
        for thread in list(self._threads):
            thread.join()

    def _slow_users(self, before_us: int) -> list[Connection]:
        """Return the users' connections whose thread has waited since `before_us` or earlier, longest wait first."""
        waiting = [
            (since_us, number, connection)
            for number, connection in enumerate(self._serving.values())
            if (since_us := connection.waiting_since_us) is not None and not connection.is_worker
        ]
        return [connection for since_us, _, connection in sorted(waiting) if since_us <= before_us]

    def _class_of(self, connection: Connection) -> _ConnectionClass:
        return self._workers if connection.is_worker else self._users

    def _start_thread(self) -> bool:
        """Start a thread; returns False if the system can't. Retried as long as connections wait."""
        thread = threading.Thread(target=self._run, name=f"request-{next(self._thread_numbers)}", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            if not self._start_failed:  # logged once for consecutive failures
                log.error("request thread not started threads=%d error=%s", len(self._threads), error)
            self._start_failed = True
            return False
        self._start_failed = False
        self._threads.add(thread)
        return True

    def _run(self) -> None:
        # Bound: none, it runs as long as the thread.
        while True:
            with self._condition:
                connection, connection_class = self._wait_for_connection()
            if connection is None:
                return
            try:
                self._serve(connection)
            except Exception:
                log.exception("error while serving %s", connection.host)
            with self._condition:
                del self._serving[threading.current_thread()]
                connection_class.release(connection.host)

    def _wait_for_connection(self) -> tuple[Connection | None, _ConnectionClass]:
        """Return the next connection and its class; None if this thread is to end."""
        # Bound: none, it waits for connections.
        while not self._stopping:
            for connection_class in (self._workers, self._users):
                connection = connection_class.dequeue()
                if connection is not None:
                    self._serving[threading.current_thread()] = connection
                    return connection, connection_class
            if self._idle_count >= RUNNABLE_THREADS:
                self._threads.discard(threading.current_thread())
                break
            self._idle_count += 1
            self._condition.wait()
        return None, self._users
