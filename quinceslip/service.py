"""Assembles one controller: the actor, its clients and its servers."""

import logging
import threading
from collections.abc import Sequence

from quinceslip.coordination.actor.effects import Call, Effect, PeerFrameReceived, Reply
from quinceslip.coordination.actor.timing import SECOND, Timing, micros
from quinceslip.coordination.controller.controller import Controller
from quinceslip.coordination.controller.subsystem import SubsystemFactory
from quinceslip.protocol.settings import Settings, Tuning, split_address
from quinceslip.transport import capacity
from quinceslip.transport.actor import ActorThread
from quinceslip.transport.clients import ClientPool, RateLimiter
from quinceslip.transport.clock import steady_us, wall_us
from quinceslip.transport.http_server import ApiServer
from quinceslip.transport.peers import PeerFrame, PeerLink, PeerServer
from quinceslip.transport.replies import Replies
from quinceslip.transport.watch import Watch

log = logging.getLogger(__name__)

STACK_BYTES = 256 * 1024
TICK_PERIOD_US = 100_000
STATE_THREADS = 8
LEASE_THREADS = 2
CLOUD_THREADS = 4
#: maximum connections from each peer at a time; more than one, as a peer may reconnect before its old one is closed
MAX_CONNECTIONS_PER_PEER = 4
#: capacity of the actor's inbox beyond client requests: for heartbeats of peers and answers to the actor's own calls
INBOX_MARGIN = 1_000


class Service:
    """One controller: its actor, the clients for outgoing calls, and the servers for incoming ones."""

    def __init__(
        self, settings: Settings, tuning: Tuning, subsystem_factories: Sequence[SubsystemFactory] = ()
    ) -> None:
        """Start all threads; raises `OSError` if an address to listen on can't be bound."""
        threading.stack_size(STACK_BYTES)
        facts = settings.facts
        max_connections = capacity.max_api_connections(facts.limits)
        self.settings = settings
        self.controller = Controller(settings, tuning, steady_us(), wall_us(), subsystem_factories)
        # Each connection has at most one request in progress. The inbox is full only if the actor is so late that
        # requests have timed out while queued; further requests are then answered with 503.
        self.actor = ActorThread(
            self.controller.handle, self._execute, TICK_PERIOD_US, max_inbox=max_connections + INBOX_MARGIN
        )
        self._create_clients()
        self.replies = Replies(self.actor.post)
        self.links = [PeerLink(split_address(peer.endpoint)) for peer in settings.known]
        self.api = ApiServer(
            split_address(settings.api_addr),
            self.replies,
            max_connections,
            [f"/{question}" for subsystem in self.controller.subsystems for question in subsystem.questions],
            max_threads=capacity.request_threads(facts.limits),
        )
        self.peers = PeerServer(
            split_address(settings.peer_bind), MAX_CONNECTIONS_PER_PEER * facts.size, self._on_peer_frame
        )
        timing = Timing(settings)
        self.actor.start()
        if tuning.end_at_standstill:
            self._start_watchdog(timing)
        self.watch = Watch(
            settings.outside.state,
            self.actor.post_always,
            min(timing.leader_lease_us // 4, SECOND),
            pause_us=micros(facts.size * 4 / facts.state.lowest_limits().rps),
        )

    def run(self) -> None:
        """Serve until the process ends."""
        log.info("%s serves users and workers on %s", self.settings.label, self.settings.api_addr)
        self.api.serve_forever()

    def _create_clients(self) -> None:
        """Create a client pool per target, each with its own threads, so that no call waits for another target."""
        facts, post = self.settings.facts, self.actor.post_always
        limits = facts.state.lowest_limits()
        self.state = ClientPool("state", STATE_THREADS, post, RateLimiter(limits.rps, limits.write_rps, facts.size))
        self.leases = ClientPool("lease", LEASE_THREADS, post)  # separate, so that lease renewals never wait
        self.cloud = ClientPool("cloud", CLOUD_THREADS, post, RateLimiter(facts.cloud.rps, facts.cloud.rps, facts.size))
        # A call to an unresponsive worker occupies a thread until it times out. Probes mostly go to such workers, so
        # they have their own threads, and commands to healthy workers never wait for them.
        self.workers = ClientPool(
            "worker", capacity.COMMAND_THREADS, post, max_idle=capacity.max_idle_command_sockets(facts.limits)
        )
        self.probes = ClientPool("probe", capacity.probe_threads(facts.limits), post, max_idle=0)

    def _start_watchdog(self, timing: Timing) -> None:
        from quinceslip.transport.stall_journal import StallJournal
        from quinceslip.transport.watchdog import Watchdog

        context = self.controller.ctx
        store = split_address(self.settings.outside.state)
        # The limit is the leader lease, a third of a worker's: a shorter stall loses nothing, and after a longer one
        # another controller leads the shards anyway.
        Watchdog(
            self.actor.thread,
            lambda: self.actor.messages_handled + context.progress_count(),
            lambda: context.active_part or self.actor.current_message_type,
            timing.leader_lease_us,
            StallJournal(self.settings.label, timing.worker_lease_us, store),
        )

    def _on_peer_frame(self, frame: PeerFrame) -> None:
        self.actor.post(PeerFrameReceived(frame))  # dropped if the inbox is full: the next one comes soon

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Reply):
            self.replies.deliver(effect)
        elif isinstance(effect, Call):
            self._call(effect)
        else:
            for link in self.links:
                link.send(effect.frames)

    def _call(self, call: Call) -> None:
        outside = self.settings.outside
        if call.target == "state":
            self.state.submit(call, outside.state)
        elif call.target == "lease":
            self.leases.submit(call, outside.state)
        elif call.target == "cloud":
            self.cloud.submit(call, outside.cloud)
        elif call.method == "GET":
            self.probes.submit(call, call.target)
        else:
            self.workers.submit(call, call.target)
