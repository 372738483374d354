"""Usage of each level over time: samples of `quota show` as JSON lines, and one HTML page of them.

matplotlib draws (extra `plots`); controllers never import this.
"""

import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple, TextIO

import msgspec

from quinceslip import plotting
from quinceslip.protocol.settings import SettingsError
from quinceslip.quota.amounts import RESOURCES

#: what several controllers report of their own shards adds up
SUMMED = ("used", "lent", "borrowed", "waiting")


class Sample(NamedTuple):
    """The levels at one time after the start of the recording."""

    at_s: float
    levels: list[dict[str, Any]]


def record(
    fetch: Callable[[str], dict[str, Any]], addresses: Sequence[str], every_s: float, for_s: float, out: TextIO
) -> int:
    """Write one line a sample, each summed over the controllers that answer; returns how many."""
    written, started = 0, time.monotonic()
    # Bound: `for_s`.
    while (at_s := time.monotonic() - started) < for_s:
        pages = _fetch_all(fetch, addresses)
        if pages:
            out.write(msgspec.json.encode({"at_s": round(at_s, 3), "levels": merge_pages(pages)}).decode() + "\n")
            out.flush()
            written += 1
        time.sleep(max(0.0, started + (written + 1) * every_s - time.monotonic()))
    return written


def _fetch_all(fetch: Callable[[str], dict[str, Any]], addresses: Sequence[str]) -> list[dict[str, Any]]:
    pages = []
    for address in addresses:
        # One that is down is left out: the others' shards are shown without it.
        with suppress(SettingsError):
            pages.append(fetch(address))
    return pages


def merge_pages(pages: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """Levels of several controllers, with what each reports of its own shards added up."""
    levels: dict[str, dict[str, Any]] = {}
    for page in pages:
        for level in page["levels"]:
            known = levels.setdefault(level["level"], {**level, **{key: {} for key in SUMMED}})
            for key in SUMMED:
                for resource, value in level[key].items():
                    known[key][resource] = known[key].get(resource, 0.0) + value
    return list(levels.values())


def read(path: Path) -> list[Sample]:
    """Samples in the order in which they were taken; raises SettingsError for a line that is none."""
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    samples = [_read_sample(path, number, line) for number, line in enumerate(lines, 1)]
    if not samples:
        raise SettingsError(f"{path}: no samples")
    return samples


def _read_sample(path: Path, number: int, line: str) -> Sample:
    try:
        sample = msgspec.json.decode(line, type=dict[str, Any])
        return Sample(float(sample["at_s"]), sample["levels"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise SettingsError(f"{path}: line {number}: no sample of quotas: {error}") from error


def page(samples: Sequence[Sample], resource: str) -> str:
    """One HTML page: for every level its usage against its guarantee and cap, and what waits."""
    last_levels = samples[-1].levels
    times_s = [sample.at_s for sample in samples]
    by_name = [{level["level"]: level for level in sample.levels} for sample in samples]
    figure, axes = plotting.rows(len(last_levels), 9)
    for axis, last in zip(axes, last_levels, strict=True):
        levels = [found.get(last["level"], {}) for found in by_name]
        _draw_level(axis, times_s, levels, by_name[-1][last["level"]], resource)
    axes[0].legend(loc="upper right", fontsize=7)
    axes[-1].set_xlabel("seconds")
    return plotting.page(figure, "quotas", "AllocationManager", f"{resource} of each level, {len(samples)} samples")


def _draw_level(
    axis: Any, times_s: list[float], levels: list[dict[str, Any]], last: dict[str, Any], resource: str
) -> None:
    """Draw one level: `levels` has it at each time, or nothing."""
    used = [level.get("used", {}).get(resource, 0.0) for level in levels]
    waiting = [level.get("waiting", {}).get(resource, 0.0) for level in levels]
    wanted = [amount + more for amount, more in zip(used, waiting, strict=True)]
    axis.fill_between(times_s, used, step="post", color="#4878a8", alpha=0.6, label="used")
    axis.step(times_s, wanted, where="post", color="#c06030", linewidth=0.9, label="used and held up by quotas")
    for key, style in (("guaranteed", ":"), ("cap", "--")):
        if resource in last[key]:
            axis.axhline(last[key][resource], linestyle=style, color="black", linewidth=0.8, label=key)
    axis.set_title(f"{'    ' * last['depth']}{last['level']}", loc="left", fontsize=9)
    axis.set_ylim(bottom=0)


def write_page(samples_path: Path, target: Path, resource: str) -> str:
    """Draw recorded samples; one line that says what was written. Raises SettingsError for an unknown resource."""
    if resource not in RESOURCES:
        raise SettingsError(f"--resource {resource}: must be of {', '.join(RESOURCES)}")
    samples = read(samples_path)
    target.write_text(page(samples, resource), encoding="utf-8")
    return f"{target}: {len(samples)} samples of {len(samples[-1].levels)} levels"
