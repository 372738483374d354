"""Numbers of connections and threads of a controller, derived from the sockets and memory in its settings."""

from quinceslip.protocol.settings import Limits
from quinceslip.transport.request_threads import MAX_REQUEST_THREADS

#: threads for commands to workers
COMMAND_THREADS = 12
#: sockets for each probe thread; a probe of a silent machine occupies its thread for a second
SOCKETS_PER_PROBE_THREAD = 64
#: with the request threads and the 35 other threads of one of three controllers, far below the limit of 2,000 threads
#: for a process
MAX_PROBE_THREADS = 96
#: share of the sockets that users and workers may hold
API_SOCKET_SHARE = 0.75
MIN_API_CONNECTIONS = 64
#: memory of the process without connections
BASE_MB = 40.0
#: memory of one connection. With 4,000 of them: 0.003 MB each while idle, including the clients' share in the same
#: process; 0.0125 MB while a heartbeat with 30 tasks waits for the actor. Kernel buffers don't count for the process
CONNECTION_MB = 0.015
#: memory of a thread that waits for a slow client: 0.023 MB each with 190 of them, the rest is for deeper call stacks
REQUEST_THREAD_MB = 0.05
#: share of the memory beyond `BASE_MB` that request threads may use
REQUEST_THREAD_MEMORY_SHARE = 0.1
#: connections to users and workers for each request thread: most connections are idle, or wait for the actor
SOCKETS_PER_REQUEST_THREAD = 16
MIN_REQUEST_THREADS = 32
#: share of the sockets that stay open to workers between two commands. With more machines than that, the least recently
#: used connection is closed, and the next command to its worker opens a new one
IDLE_COMMAND_SOCKET_SHARE = 0.125


def request_threads(limits: Limits) -> int:
    """Number of threads that read requests and send answers; they wait for slow clients, but never for the actor."""
    by_sockets = limits.max_sockets // SOCKETS_PER_REQUEST_THREAD
    by_memory = int((limits.memory_mb - BASE_MB) * REQUEST_THREAD_MEMORY_SHARE / REQUEST_THREAD_MB)
    return max(MIN_REQUEST_THREADS, min(MAX_REQUEST_THREADS, by_sockets, by_memory))


def max_api_connections(limits: Limits) -> int:
    """Number of connections that sockets and memory allow.

    Every worker of the site may connect while the other controllers are down.
    """
    by_sockets = limits.max_sockets * API_SOCKET_SHARE
    by_memory = (limits.memory_mb - BASE_MB - request_threads(limits) * REQUEST_THREAD_MB) / CONNECTION_MB
    return max(MIN_API_CONNECTIONS, int(min(by_sockets, by_memory)))


def probe_threads(limits: Limits) -> int:
    """Number of probe threads: at least as many as for commands, more if there are sockets for a large site."""
    return max(COMMAND_THREADS, min(MAX_PROBE_THREADS, limits.max_sockets // SOCKETS_PER_PROBE_THREAD))


def max_idle_command_sockets(limits: Limits) -> int:
    """Number of connections to workers that stay open between two commands."""
    return int(limits.max_sockets * IDLE_COMMAND_SOCKET_SHARE)
