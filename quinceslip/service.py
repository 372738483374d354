"""Wires one controller together: the actor, its threads and its sockets."""

import logging
import threading
from collections.abc import Sequence

from quinceslip.coordination.actor.effects import Call, Effect, PeerFrameReceived, Reply
from quinceslip.coordination.actor.subsystem import SubsystemFactory
from quinceslip.coordination.actor.timing import SECOND, Timing
from quinceslip.coordination.controller.controller import Controller
from quinceslip.protocol.settings import Limits, Settings, Tuning, split_address
from quinceslip.storage.watch import Watch
from quinceslip.transport.actor import ActorThread
from quinceslip.transport.clients import Budget, Pool
from quinceslip.transport.clock import steady_us, wall_us
from quinceslip.transport.http_server import ApiServer
from quinceslip.transport.peers import PeerLink, PeerServer
from quinceslip.transport.replies import Replies
from quinceslip.transport.request_threads import MAX_REQUEST_THREADS

log = logging.getLogger(__name__)

STACK_BYTES = 256 * 1024
BEAT_US = 100_000
STATE_THREADS = 8
LEASE_THREADS = 2
CLOUD_THREADS = 4
WORKER_THREADS = 12
#: a probe of a silent machine takes its thread for a second; so many sockets allow one thread for probes
SOCKETS_PER_PROBE_THREAD = 64
#: these and the 35 others of one of three controllers are far below the 2,000 threads that a process may have
MAX_PROBE_THREADS = 96
#: part of the sockets that stay open to workers between two commands. With more machines than that, the connection that
#: was used longest ago is closed, and the next command to its worker opens another one.
IDLE_COMMAND_SOCKET_SHARE = 0.125
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
#: room in the actor's inbox beside the requests of connections: heartbeats of peers, answers to the actor's own calls
INBOX_MARGIN = 1_000


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
    return max(WORKER_THREADS, min(MAX_PROBE_THREADS, limits.max_sockets // SOCKETS_PER_PROBE_THREAD))


class Service:
    """One controller: its actor, the clients it calls with, and the sockets it serves."""

    def __init__(
        self, settings: Settings, tuning: Tuning, subsystem_factories: Sequence[SubsystemFactory] = ()
    ) -> None:
        threading.stack_size(STACK_BYTES)
        facts = settings.facts
        limits = facts.state.lasting()
        max_connections = max_api_connections(facts.limits)
        self.settings = settings
        node = Controller(settings, tuning, steady_us(), wall_us(), subsystem_factories)
        # Each connection has one request under way. The inbox is full only when the actor is so late that requests
        # have had their time limits in it: then they are answered 503.
        self.actor = ActorThread(node.handle, self._carry_out, BEAT_US, max_inbox=max_connections + INBOX_MARGIN)
        post = self.actor.post_sure
        budget = Budget(limits.rps, limits.write_rps, facts.size)
        self.state = Pool("state", STATE_THREADS, post, budget)
        self.leases = Pool("lease", LEASE_THREADS, post)  # renewals never wait behind anything else
        self.cloud = Pool("cloud", CLOUD_THREADS, post, Budget(facts.cloud.rps, facts.cloud.rps, facts.size))
        # A silent worker keeps a thread until the time limit. Probes are mostly of such workers, so
        # they have threads of their own, and commands to healthy ones never wait behind them.
        self.workers = Pool(
            "worker", WORKER_THREADS, post, max_idle=int(facts.limits.max_sockets * IDLE_COMMAND_SOCKET_SHARE)
        )
        self.probes = Pool("probe", probe_threads(facts.limits), post, max_idle=0)
        self.replies = Replies(self.actor.post)
        self.links = [PeerLink(split_address(p.endpoint)) for p in settings.known]
        questions = [f"/{question}" for subsystem in node.subsystems for question in subsystem.questions]
        self.api = ApiServer(
            split_address(settings.api_addr),
            self.replies,
            max_connections,
            questions,
            max_threads=request_threads(facts.limits),
        )
        self.peers = PeerServer(
            split_address(settings.peer_bind),
            4 * facts.size,
            lambda said: void(self.actor.post(PeerFrameReceived(said))),
        )
        timing = Timing(settings)
        self.actor.start()
        if tuning.end_at_standstill:
            from quinceslip.transport.watchdog import Watchdog

            # The owner's lease, a third of a worker's: until then nothing is lost, then a peer has the shards anyway.
            Watchdog(
                settings.label,
                self.actor.thread,
                lambda: self.actor.turns + node.ctx.progress(),
                lambda: node.ctx.active_part or self.actor.doing,
                timing.leader_lease_us,
                timing.worker_lease_us,
                split_address(settings.outside.state),
            )
        self.watch = Watch(
            settings.outside.state,
            post,
            min(timing.leader_lease_us // 4, SECOND),
            pause_us=int(SECOND * facts.size * 4 / limits.rps),
        )

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, Reply):
            self.replies.give(effect)
        elif isinstance(effect, Call):
            outside = self.settings.outside
            if effect.target == "state":
                self.state.submit(effect, outside.state)
            elif effect.target == "lease":
                self.leases.submit(effect, outside.state)
            elif effect.target == "cloud":
                self.cloud.submit(effect, outside.cloud)
            elif effect.method == "GET":
                self.probes.submit(effect, effect.target)
            else:
                self.workers.submit(effect, effect.target)
        else:
            for link in self.links:
                link.send(effect.frames)

    def run(self) -> None:
        """Serve until the process ends."""
        log.info("%s serves users and workers on %s", self.settings.label, self.settings.api_addr)
        self.api.serve_forever()


def void(_: object) -> None:
    """Drop a result."""
