"""Messages of the cloud API: machine types, scale-out requests, deletions and the machine list."""

from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import Struct, field

from quinceslip.protocol.messages.fields import MAX_AMOUNT

PATH_MACHINE_TYPES = "/flavors"
PATH_HOSTS = "/hosts"
PATH_HOSTS_DELETE = "/hosts/delete"
#: states of a listed machine that are treated specially; a machine in any other state counts as running
HOST_FAILED = "failed"
HOST_BOOTING = "booting"
#: stands for the state of a listed machine of which only the name can be read
HOST_UNREADABLE = "unreadable"
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


class _RawMachineTypes(Struct):
    """The same, with each type undecoded."""

    types: list[msgspec.Raw] = field(name="builds")


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


class _RawMachineListing(Struct):
    """The same, with each entry undecoded."""

    machines: list[msgspec.Raw] = field(name="berths")
    more: bool = field(name="hasNext", default=False)


class _NamedMachine(Struct):
    """The only field of an entry that is needed to tell which machine it is about."""

    machine: str = field(name="uid")


@dataclass(frozen=True, slots=True)
class ReadMachineTypes:
    """The machine types that can be used, and for each other one the reason why not."""

    types: list[MachineType]
    unusable: list[str]


_type_decoder = msgspec.json.Decoder(MachineType)
_machine_decoder = msgspec.json.Decoder(CloudMachine)
_TYPE_AMOUNTS = ("cpus", "gpus", "memory_gb", "price", "boot_s", "spot_price", "cache_gb", "fetch_gb_per_s")
_TYPE_WIRE_NAMES = {f.name: f.encode_name for f in msgspec.structs.fields(MachineType)}


def read_machine_types(body: bytes) -> ReadMachineTypes:
    """Decode the answer to `PATH_MACHINE_TYPES` type by type; raises `msgspec.DecodeError` if it has no list."""
    types: list[MachineType] = []
    unusable: list[str] = []
    for raw in msgspec.json.decode(body, type=_RawMachineTypes).types:
        try:
            types.append(_type_decoder.decode(raw))
        except msgspec.DecodeError as error:
            unusable.append(str(error))
    checked = usable_machine_types(types)
    return ReadMachineTypes(checked.types, unusable + checked.unusable)


def usable_machine_types(types: list[MachineType]) -> ReadMachineTypes:
    """Divide decoded machine types into those whose amounts can be calculated with, and the others."""
    usable: list[MachineType] = []
    unusable: list[str] = []
    for machine_type in types:
        wrong = [name for name in _TYPE_AMOUNTS if not 0 <= getattr(machine_type, name) <= MAX_AMOUNT]
        if wrong:
            values = ", ".join(f"{_TYPE_WIRE_NAMES[name]} = {getattr(machine_type, name):g}" for name in wrong)
            unusable.append(f"{machine_type.label}: {values}")
        else:
            usable.append(machine_type)
    return ReadMachineTypes(usable, unusable)


def read_machine_listing(body: bytes) -> MachineListing:
    """Decode one page of the machine list; an entry of which only the name can be read is `HOST_UNREADABLE`.

    Raises `msgspec.DecodeError` for anything else: a list that lacks a machine would prove that it is gone.
    """
    raw_listing = msgspec.json.decode(body, type=_RawMachineListing)
    return MachineListing([_read_machine(raw) for raw in raw_listing.machines], raw_listing.more)


def _read_machine(raw: msgspec.Raw) -> CloudMachine:
    try:
        return _machine_decoder.decode(raw)
    except msgspec.DecodeError:
        return CloudMachine(msgspec.json.decode(raw, type=_NamedMachine).machine, HOST_UNREADABLE)


def scale_out_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Build the body of a request for machines. It is idempotent: requests with the same name start them once."""
    return {"hire": name, "build": machine_type, "yard": zone, "loaners": spot, "howMany": count}


def delete_request(names: list[str]) -> dict[str, Any]:
    """Build the body of a request to delete machines."""
    return {"berths": names}


def machines_path(after: str, limit: int = MACHINES_PER_PAGE) -> str:
    """Build the path of the list's page that begins after the given machine."""
    return f"{PATH_HOSTS}?since={after}&most={limit}"
