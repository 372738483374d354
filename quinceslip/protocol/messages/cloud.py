"""Messages of the cloud: machine types, scale-out requests, deletions and the list of machines."""

from typing import Any

from msgspec import Struct, field

PATH_MACHINE_TYPES = "/flavors"
PATH_HOSTS = "/hosts"
PATH_HOSTS_DELETE = "/hosts/delete"
#: states of a listed machine that the scheduler knows; any other is as good as running
HOST_FAILED = "failed"
HOST_BOOTING = "booting"
#: machines on one page of the list
LIST_PAGE = 500


class MachineType(Struct, frozen=True):
    """A type of machine: its size, its price an hour (on demand and spot) and how long a boot takes, in seconds."""

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
    """The names of the machines that a scale-out request has started."""

    machines: list[str] = field(name="berths")


class CloudMachine(Struct):
    """A machine as the cloud lists it; the list lags behind."""

    machine: str = field(name="uid")
    status: str
    type: str = field(name="build", default="")
    zone: str = field(name="yard", default="")
    endpoint: str = ""
    spot: bool = field(name="loaners", default=False)
    age_s: float = field(name="ageS", default=0.0)


class MachineListing(Struct):
    """One page of the cloud's list of machines."""

    machines: list[CloudMachine] = field(name="berths")
    more: bool = field(name="hasNext", default=False)


def scale_out_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """An idempotent request for machines: repeated under one name it starts them once."""
    return {"hire": name, "build": machine_type, "yard": zone, "loaners": spot, "howMany": count}


def delete_request(names: list[str]) -> dict[str, Any]:
    """A request to delete machines."""
    return {"berths": names}


def machines_path(after: str, limit: int = LIST_PAGE) -> str:
    """The page of the list that begins after a machine."""
    return f"{PATH_HOSTS}?since={after}&most={limit}"
