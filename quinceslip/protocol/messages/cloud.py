"""Messages of the cloud API: machine types, scale-out requests, deletions and the machine list."""

from typing import Any

from msgspec import Struct, field

PATH_MACHINE_TYPES = "/flavors"
PATH_HOSTS = "/hosts"
PATH_HOSTS_DELETE = "/hosts/delete"
#: states of a listed machine that are treated specially; a machine in any other state counts as running
HOST_FAILED = "failed"
HOST_BOOTING = "booting"
#: maximum number of machines per page of the list
MACHINES_PER_PAGE = 500


class MachineType(Struct, frozen=True):
    """A machine type: its size, its hourly price (on demand and spot), its boot time and its image cache."""

    label: str
    cpus: float = field(name="vcpus")
    gpus: float
    memory_gb: float = field(name="memGb")
    price: float
    boot_s: float = field(name="startupS")
    zones: list[str] = field(name="yards")
    spot_price: float = field(name="lowPrice", default=0.0)
    cache_gb: float = field(name="cacheGb", default=0.0)
    fetch_gb_per_s: float = field(name="pullGbPerS", default=1.0)


class MachineTypes(Struct):
    """The answer to `PATH_MACHINE_TYPES`."""

    types: list[MachineType] = field(name="builds")


class ScaleOutAnswer(Struct):
    """The answer to a scale-out request: the names of the started machines."""

    machines: list[str] = field(name="berths")


class CloudMachine(Struct):
    """An entry of the cloud's machine list, which lags behind the actual state."""

    machine: str = field(name="uid")
    status: str
    type: str = field(name="build", default="")
    zone: str = field(name="yard", default="")
    endpoint: str = ""
    spot: bool = field(name="loaners", default=False)
    age_s: float = field(name="ageS", default=0.0)


class MachineListing(Struct):
    """One page of the cloud's machine list."""

    machines: list[CloudMachine] = field(name="berths")
    more: bool = field(name="hasNext", default=False)


def scale_out_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Build the body of a request for machines. It is idempotent: requests with the same name start them once."""
    return {"hire": name, "build": machine_type, "yard": zone, "loaners": spot, "howMany": count}


def delete_request(names: list[str]) -> dict[str, Any]:
    """Build the body of a request to delete machines."""
    return {"berths": names}


def machines_path(after: str, limit: int = MACHINES_PER_PAGE) -> str:
    """Build the path of the list's page that begins after the given machine."""
    return f"{PATH_HOSTS}?since={after}&most={limit}"
