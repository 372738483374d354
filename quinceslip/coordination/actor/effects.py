"""Effects, which the actor returns for its shell to carry out, and messages, which the shell posts to the actor.

The actor does no I/O itself: it handles one message at a time and returns effects (`quinceslip.transport.actor`).
"""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from quinceslip.protocol import frames
from quinceslip.protocol import messages as m

#: `Call.target` of requests to the key-value store
TARGET_STORE = "state"
#: `Call.target` of requests for the leader lease, which go to the key-value store outside its rate limit
TARGET_LEASE = "lease"
#: `Call.target` of requests to the cloud
TARGET_CLOUD = "cloud"

#: default timeout of a call
DEFAULT_TIMEOUT_US = 1_500_000


class CallOutcome(IntEnum):
    """`CallResult.status` of calls that got no HTTP response."""

    #: the request never reached the other side
    NOT_SENT = -1
    #: the request may or may not have taken effect
    UNKNOWN = 0


NOT_SENT = CallOutcome.NOT_SENT
UNKNOWN = CallOutcome.UNKNOWN


class Urgency(IntEnum):
    """Priority of a call to the key-value store under its rate limit."""

    USER = 0  # a user or the leadership of a shard waits for it
    LAUNCH = 1  # launches wait for it
    RESULT = 2
    BACKGROUND = 3


# Effects.


@dataclass(slots=True)
class Call:
    """A request to the key-value store, the cloud or a worker; answered by a `CallResult` with the same `id`."""

    target: str  # one of the `TARGET_` constants, or the address of a worker
    id: int
    method: str
    path: str
    body: Any = None
    timeout_us: int = DEFAULT_TIMEOUT_US
    writes: int = 0  # number of changes in it, for the store's limit on the rate of writes
    urgency: Urgency = Urgency.USER


@dataclass(slots=True)
class Reply:
    """The response to a request of a user, the load balancer or a worker."""

    request: int
    status: int
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class PeerBroadcast:
    """Frames for all other controllers: a heartbeat, followed by observations of the cloud's capacity."""

    frames: bytes


Effect = Call | Reply | PeerBroadcast


class MessageFailedError(Exception):
    """A message could not be handled to its end; `effects` are those up to then, which are to be carried out.

    Components have noted these calls and wait for their results, so dropping them would keep the components waiting.
    """

    def __init__(self, effects: list[Effect]) -> None:
        super().__init__(f"message not handled to its end, after {len(effects)} effects")
        self.effects = effects


# Messages to the actor.


@dataclass(slots=True)
class Tick:
    """Time has passed; posted about ten times a second."""


@dataclass(slots=True)
class BatchEnd:
    """The inbox is empty, or the batch is full: act on what has changed."""


@dataclass(slots=True)
class CallResult:
    """The outcome of a `Call`: an HTTP status with its body, or a `CallOutcome`."""

    id: int
    status: int
    body: bytes = b""


@dataclass(slots=True)
class UserRequest:
    """A request of a user, or of the load balancer in front of the controllers ("ready")."""

    request: int
    verb: str  # "submit", "malformed", "poll", "cancel", "ready"
    job_id: str = ""
    spec: Any = None  # the JobSpec of "submit", the parse error of "malformed"


@dataclass(slots=True)
class SubsystemQuery:
    """A query that a subsystem answers; `after` is where the previous page ended."""

    request: int
    question: str
    after: str = ""


@dataclass(slots=True)
class HeartbeatReceived:
    """A heartbeat of a worker; the reply to `request` carries the commands for it."""

    request: int
    heartbeat: m.WorkerHeartbeat


@dataclass(slots=True)
class StoreListing:
    """A listing of all records, fetched page by page."""

    items: list[m.Item]
    revision: int  # of the first page: the watch continues from there
    requested_us: int  # when the first page was requested
    last_page_revision: int = 0  # of the last page: the pages are consistent once the watch has reached it


@dataclass(slots=True)
class StoreChanges:
    """Changes reported by the watch, up to a store revision; requested at `requested_us`."""

    events: list[m.Event]
    revision: int
    requested_us: int


@dataclass(slots=True)
class PeerFrameReceived:
    """A frame from another controller."""

    frame: frames.PeerHeartbeat | frames.PeerObservations


Message = (
    Tick
    | BatchEnd
    | CallResult
    | UserRequest
    | SubsystemQuery
    | HeartbeatReceived
    | StoreListing
    | StoreChanges
    | PeerFrameReceived
)
