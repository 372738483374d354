"""The settings file of the platform (TOML) and the optional one of the operators (INI).

Fields are named as in the files. The README and the platform's documentation describe them.
"""

import configparser
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from quinceslip.protocol.messages import MAX_AMOUNT

Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]

#: smaller amounts count as this one, so that a fraction of one is never rounded to 0 and its inverse is a number
MIN_AMOUNT = 1e-6

#: subsystems that have their own sections in the operators' file
SUBSYSTEM_SECTIONS = ("quota",)


class SettingsError(Exception):
    """Invalid settings; the message names the field."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller of the site."""

    label: Name
    location: Name
    endpoint: str


class Outside(msgspec.Struct, frozen=True):
    """Addresses of the cloud and of the key-value store."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team with its guarantees (`cpus`, `gpus`) and its limits (`..._max`); 0 means none."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective of one class of jobs."""

    kind: str
    job_class: str = msgspec.field(name="class", default="")
    within_s: Amount = 0.0
    share: Amount = 0.0
    times: Amount = 1.0


class WorkerFacts(msgspec.Struct, frozen=True):
    """Time limits of workers: heartbeat period, lease duration, and deadline for a confirmed cancellation's effect."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class StateNext(msgspec.Struct, frozen=True):
    """Limits that the key-value store will change to at an unannounced time; None means no change."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=1)] | None = None


class StateFacts(msgspec.Struct, frozen=True):
    """Limits of the key-value store.

    They are requests and changes per second, KiB per value, and changes per transaction, which may have four times as
    many conditions.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=1)]
    next: StateNext = StateNext()

    def lowest_limits(self) -> "StateFacts":
        """Return limits that hold before and after the announced change; the program relies on no others."""

        def lower(current: float, announced: float | None) -> float:
            return current if announced is None else min(current, announced)

        announced = self.next
        return StateFacts(
            lower(self.rps, announced.rps),
            lower(self.write_rps, announced.write_rps),
            lower(self.value_kb, announced.value_kb),
            int(lower(self.txn_ops, announced.txn_ops)),
        )


class CloudFacts(msgspec.Struct, frozen=True):
    """Limits of the cloud API: calls per second, and the lag of its machine list."""

    rps: Positive
    list_lag_s: Amount


class Limits(msgspec.Struct, frozen=True):
    """Resource limits of one controller."""

    cpu_share: Positive = 1.0
    memory_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=16)] = 1024


class Facts(msgspec.Struct, frozen=True):
    """Facts about the site; `size` is the number of controllers, which is also the number of shards."""

    size: Annotated[int, Meta(ge=1, le=64)]
    zones: list[str]
    workers: WorkerFacts
    state: StateFacts
    cloud: CloudFacts
    time_bound_ms: Amount = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    limits: Limits = Limits()


class Settings(msgspec.Struct, frozen=True):
    """All settings that the platform gives to one controller."""

    label: Name
    location: Name
    api_addr: str
    peer_bind: str
    outside: Outside
    facts: Facts
    known: list[Peer] = []


class Tuning(msgspec.Struct, frozen=True):
    """Optional settings of the operators; every default is derived or follows from the design."""

    load_record_s: Positive = 5.0
    balance_period_s: Positive = 10.0
    request_timeout_s: Positive = 1.5
    idle_return_factor: Positive = 1.3
    hire_fraction: Annotated[float, Meta(gt=0, le=2)] = 0.8
    end_at_standstill: bool = True
    tell_supply: bool = True
    suspect_mistakes: bool = True
    fair_teams: bool = True
    bound_waits: bool = True
    urge_ancestors: bool = True
    log_level: str = ""


def split_address(text: str) -> tuple[str, int]:
    """Split "10.0.0.1:8080" into host and port; raises ValueError if the text is no such address."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address HOST:PORT: {text!r}")
    return host, int(port)


def load_settings(path: Path) -> Settings:
    """Read and check the platform's settings; raises SettingsError that names the file and the field."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        settings: Settings = _with_bounded_amounts(msgspec.toml.decode(data, type=Settings))
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    _check_addresses(path, settings)
    if len({settings.label, *(peer.label for peer in settings.known)}) != settings.facts.size:
        raise SettingsError(f"{path}: facts.size: {settings.facts.size} does not match label and known")
    return settings


def _with_bounded_amounts(value: Any) -> Any:
    """Return the value with all amounts in it up to `MAX_AMOUNT` (`inf` stands for "no limit"), and from `MIN_AMOUNT`.

    0 stays 0, since it means "none".
    """
    if isinstance(value, float):
        return min(max(value, MIN_AMOUNT), MAX_AMOUNT) if value > 0 else value
    if isinstance(value, list):
        return [_with_bounded_amounts(element) for element in value]
    if isinstance(value, msgspec.Struct):
        # Bound: the nesting of `Settings` and `Tuning`.
        return type(value)(**{name: _with_bounded_amounts(getattr(value, name)) for name in value.__struct_fields__})
    return value


def _check_addresses(path: Path, settings: Settings) -> None:
    """Raise SettingsError for the first field whose address is invalid."""
    addresses = {
        "api_addr": settings.api_addr,
        "peer_bind": settings.peer_bind,
        "outside.cloud": settings.outside.cloud,
        "outside.state": settings.outside.state,
    }
    addresses.update({f"known.{peer.label}.endpoint": peer.endpoint for peer in settings.known})
    for field, address in addresses.items():
        try:
            split_address(address)
        except ValueError as error:
            raise SettingsError(f"{path}: {field}: {error}") from error


def read_operator_file(path: Path | None) -> configparser.ConfigParser:
    """Read the operators' INI file and check its section names; the result is empty if there is no file.

    The names of a subsystem's sections begin with the subsystem's name; the subsystem checks their content.
    """
    parser = configparser.ConfigParser(interpolation=None)
    if path is None:
        return parser
    try:
        with path.open(encoding="utf-8") as handle:
            parser.read_file(handle, str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(f"{path}: {str(error).splitlines()[0]}") from error
    for section in parser.sections():
        if section != "quinceslip" and section.split(" ")[0] not in SUBSYSTEM_SECTIONS:
            raise SettingsError(f"{path}: unknown section [{section}]")
    return parser


def load_tuning(path: Path | None, parser: configparser.ConfigParser | None = None) -> Tuning:
    """Read section [quinceslip] of the operators' file; raises SettingsError that names the key and its value."""
    parser = read_operator_file(path) if parser is None else parser
    raw = dict(parser["quinceslip"]) if parser.has_section("quinceslip") else {}
    known = {f.name for f in msgspec.structs.fields(Tuning)}
    for key, value in raw.items():
        if key not in known:
            raise SettingsError(f"{path}: {key} = {value}: unknown key")
        try:
            msgspec.convert({key: value}, Tuning, strict=False)
        except msgspec.ValidationError as error:
            raise SettingsError(f"{path}: {key} = {value}: {error}") from error
        if key == "log_level" and value not in ("error", "info", "debug"):
            raise SettingsError(f"{path}: log_level = {value}: must be error, info or debug")
    tuning: Tuning = _with_bounded_amounts(msgspec.convert(raw, Tuning, strict=False))
    return tuning
