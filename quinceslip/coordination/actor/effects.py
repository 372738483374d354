"""What the actors ask the shell to do. They never do it themselves."""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

#: outcome of a call that surely never reached the other side
NOT_SENT = -1
#: outcome of a call that may or may not have taken effect
UNKNOWN = 0


class Urgency(IntEnum):
    """The order in which calls to the state service get their share of its budget."""

    USER = 0  # a user waits for it, or the right to a shard does
    LAUNCH = 1  # launches wait for it
    RESULT = 2
    REST = 3


@dataclass(slots=True)
class Call:
    """A request to the state service, the cloud or a worker; answered by `CallResult(id)`."""

    target: str  # "state", "lease", "cloud" or a worker's address
    id: int
    method: str
    path: str
    body: Any = None
    timeout_us: int = 1_500_000
    writes: int = 0
    urgency: Urgency = Urgency.USER


@dataclass(slots=True)
class Reply:
    """The answer to a request that users, the load balancer or workers sent."""

    request: int
    status: int
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class ToPeers:
    """Frames for every other controller: a heartbeat, and sightings of the cloud's room behind it."""

    frames: bytes


Effect = Call | Reply | ToPeers


# Messages to the actor.


@dataclass(slots=True)
class Tick:
    pass


@dataclass(slots=True)
class BatchEnd:
    """The inbox is empty, or enough was taken from it: act on what has changed."""


@dataclass(slots=True)
class CallResult:
    id: int
    status: int
    body: bytes = b""


@dataclass(slots=True)
class UserRequest:
    request: int
    verb: str  # "submit", "malformed", "poll", "cancel", "ready"
    job_id: str = ""
    spec: Any = None  # what is submitted, or why that can't be read


@dataclass(slots=True)
class SubsystemQuery:
    """A question that a subsystem answers; `after` continues a page."""

    request: int
    question: str
    after: str = ""


@dataclass(slots=True)
class HeartbeatReceived:
    request: int
    heartbeat: Any


@dataclass(slots=True)
class StoreListing:
    """A listing of all records, read page by page."""

    items: list[Any]
    revision: int  # of the first page: the watch goes on from there
    asked_us: int  # when the first page was asked for
    until: int = 0  # ledger of the last page: before the watch has brought that much, pages do not fit together


@dataclass(slots=True)
class StoreChanges:
    events: list[Any]
    revision: int
    asked_us: int


@dataclass(slots=True)
class PeerFrameReceived:
    said: Any  # a heartbeat, or sightings of the cloud's room


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
