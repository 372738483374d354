"""How many connections and threads a controller has, by the sockets and the memory of its settings."""

from quinceslip.protocol.settings import Limits
from quinceslip.transport.request_threads import MAX_REQUEST_THREADS

#: threads for commands to workers
COMMAND_THREADS = 12
#: a probe of a silent machine takes its thread for a second; so many sockets allow one thread for probes
SOCKETS_PER_PROBE_THREAD = 64
#: these, those for requests and the 35 others of one of three controllers are far below the 2,000 threads that a
#: process may have
MAX_PROBE_THREADS = 96
#: part of the sockets that users and workers may hold
API_SOCKET_SHARE = 0.75
MIN_API_CONNECTIONS = 64
#: what the process takes without connections
BASE_MB = 40.0
#: what one connection adds. Measured with 4,000: 0.003 MB at rest, with the part of the clients in the same process;
#: 0.0125 MB while a heartbeat with 30 tasks waits for the actor. Buffers of the kernel aren't the process's
CONNECTION_MB = 0.015
#: what a thread that waits for a slow client adds: 0.023 MB measured with 190, the rest is for deeper calls
REQUEST_THREAD_MB = 0.05
#: part of the memory beyond `BASE_MB` that threads for requests may take
REQUEST_THREAD_MEMORY_SHARE = 0.1
#: connections to users and workers for each thread that serves them: most connections rest, or are with the actor
SOCKETS_PER_REQUEST_THREAD = 16
MIN_REQUEST_THREADS = 32
#: part of the sockets that stay open to workers between two commands. With more machines than that, the connection that
#: was used longest ago is closed, and the next command to its worker opens another one.
IDLE_COMMAND_SOCKET_SHARE = 0.125


def request_threads(limits: Limits) -> int:
    """Threads that read requests and send answers; they wait for slow clients only, never for the actor."""
    by_sockets = limits.max_sockets // SOCKETS_PER_REQUEST_THREAD
    by_memory = int((limits.memory_mb - BASE_MB) * REQUEST_THREAD_MEMORY_SHARE / REQUEST_THREAD_MB)
    return max(MIN_REQUEST_THREADS, min(MAX_REQUEST_THREADS, by_sockets, by_memory))


def max_api_connections(limits: Limits) -> int:
    """Connections that sockets and memory allow: every worker of the site may come while other controllers are down."""
    by_sockets = limits.max_sockets * API_SOCKET_SHARE
    by_memory = (limits.memory_mb - BASE_MB - request_threads(limits) * REQUEST_THREAD_MB) / CONNECTION_MB
    return max(MIN_API_CONNECTIONS, int(min(by_sockets, by_memory)))


def probe_threads(limits: Limits) -> int:
    """Threads for probes: at least as many as for commands, more where the sockets are meant for a large site."""
    return max(COMMAND_THREADS, min(MAX_PROBE_THREADS, limits.max_sockets // SOCKETS_PER_PROBE_THREAD))


def max_idle_command_sockets(limits: Limits) -> int:
    """Connections to workers that stay open between two commands."""
    return int(limits.max_sockets * IDLE_COMMAND_SOCKET_SHARE)
