"""The settings file of the platform (TOML) and the optional one of the operators (INI).

Fields have the names of the files; what they mean is in README and in the platform's pages.
"""

import configparser
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]


#: subsystems with sections of their own in the operators' file
SUBSYSTEMS = ("quota",)


class SettingsError(Exception):
    """A settings file that cannot be used; the text names the field."""


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
    """A team with its guarantee (`cpus`, `gpus`) and its limit (`..._max`); 0: none."""

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
    """Seconds between heartbeats, of a worker's lease, and until a confirmed cancellation must have taken effect."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class StateNext(msgspec.Struct, frozen=True):
    """Limits that the key-value store will have from some moment on, without notice; what is missing stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=1)] | None = None


class StateFacts(msgspec.Struct, frozen=True):
    """Requests and changes a second, KiB of a value, changes of a transaction (four times as many conditions)."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=1)]
    next: StateNext = StateNext()

    def lowest_limits(self) -> "StateFacts":
        """Limits that hold now and after the announced change: the lesser of each. Nothing may rest on others."""

        def least(now: float, later: float | None) -> float:
            return now if later is None else min(now, later)

        later = self.next
        return StateFacts(
            least(self.rps, later.rps),
            least(self.write_rps, later.write_rps),
            least(self.value_kb, later.value_kb),
            int(least(self.txn_ops, later.txn_ops)),
        )


class CloudFacts(msgspec.Struct, frozen=True):
    """Calls a second that the cloud takes, and by how much its list of machines lags."""

    rps: Positive
    list_lag_s: Amount


class Limits(msgspec.Struct, frozen=True):
    """What one controller may use."""

    cpu_share: Positive = 1.0
    memory_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=16)] = 1024


class Facts(msgspec.Struct, frozen=True):
    """Facts of the site; `size` is the number of controllers, and of shards."""

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
    """Everything that the platform hands over to one controller."""

    label: Name
    location: Name
    api_addr: str
    peer_bind: str
    outside: Outside
    facts: Facts
    known: list[Peer] = []


class Tuning(msgspec.Struct, frozen=True):
    """What operators may set themselves; every default is derived or taken from the design."""

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
    """Turn "10.0.0.1:8080" into its host and port; raises ValueError for anything else."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address HOST:PORT: {text!r}")
    return host, int(port)


def load_settings(path: Path) -> Settings:
    """Read and check the platform's settings; raises SettingsError with the file and the field."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        settings = msgspec.toml.decode(data, type=Settings)
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    _check_addresses(path, settings)
    if len({settings.label, *(peer.label for peer in settings.known)}) != settings.facts.size:
        raise SettingsError(f"{path}: facts.size: {settings.facts.size} does not match label and known")
    return settings


def _check_addresses(path: Path, settings: Settings) -> None:
    """Raise SettingsError for the first field that holds no address."""
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
    """The operators' own INI file; without one, nothing is set in it.

    Sections of subsystems begin with the subsystem's name and are checked by it.
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
        if section != "quinceslip" and section.split(" ")[0] not in SUBSYSTEMS:
            raise SettingsError(f"{path}: unknown section [{section}]")
    return parser


def load_tuning(path: Path | None, parser: configparser.ConfigParser | None = None) -> Tuning:
    """Section [quinceslip] of the operators' own file; errors name key and value."""
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
    return msgspec.convert(raw, Tuning, strict=False)
