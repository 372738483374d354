"""Usage of each level over time: records samples of `quota show` as JSON lines and plots them on an HTML page.

Needs matplotlib (extra `plots`); controllers never import this module.
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

#: keys whose values cover a controller's own shards only and are summed over controllers
SUMMED = ("used", "lent", "borrowed", "waiting")


class Sample(NamedTuple):
    """The levels at one point in time, in seconds since the start of the recording."""

    at_s: float
    levels: list[dict[str, Any]]


def record_samples(
    fetch: Callable[[str], dict[str, Any]], addresses: Sequence[str], every_s: float, for_s: float, out: TextIO
) -> int:
    """Write one line per sample, summed over the controllers that answer; return the number of samples."""
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
        # A controller that is down is skipped; the sample then covers the shards of the others.
        with suppress(SettingsError):
            pages.append(fetch(address))
    return pages


def merge_pages(pages: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """Merge the levels of several controllers, adding up the values that each reports for its own shards."""
    levels: dict[str, dict[str, Any]] = {}
    for page in pages:
        for level in page["levels"]:
            total = levels.setdefault(level["level"], {**level, **{key: {} for key in SUMMED}})
            for key in SUMMED:
                for resource, value in level[key].items():
                    total[key][resource] = total[key].get(resource, 0.0) + value
    return list(levels.values())


def read_samples(path: Path) -> list[Sample]:
    """Read samples in the order of recording; raises SettingsError for a line that is not a sample."""
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


def render_page(samples: Sequence[Sample], resource: str) -> str:
    """Return an HTML page that shows each level's usage and waiting demand against its guarantee and cap."""
    last_levels = samples[-1].levels
    times_s = [sample.at_s for sample in samples]
    by_name = [{level["level"]: level for level in sample.levels} for sample in samples]
    figure, axes = plotting.stacked_plots(len(last_levels), 9)
    for axis, last in zip(axes, last_levels, strict=True):
        levels = [entries.get(last["level"], {}) for entries in by_name]
        _draw_level(axis, times_s, levels, by_name[-1][last["level"]], resource)
    axes[0].legend(loc="upper right", fontsize=7)
    axes[-1].set_xlabel("seconds")
    return plotting.page(figure, "quotas", "AllocationManager", f"{resource} of each level, {len(samples)} samples")


def _draw_level(
    axis: Any, times_s: list[float], levels: list[dict[str, Any]], last: dict[str, Any], resource: str
) -> None:
    """Draw one level; `levels` has its entry at each time, empty where it is missing, and `last` the latest one."""
    used = [level.get("used", {}).get(resource, 0.0) for level in levels]
    waiting = [level.get("waiting", {}).get(resource, 0.0) for level in levels]
    demand = [amount + more for amount, more in zip(used, waiting, strict=True)]
    axis.fill_between(times_s, used, step="post", color="#4878a8", alpha=0.6, label="used")
    axis.step(times_s, demand, where="post", color="#c06030", linewidth=0.9, label="used and held up by quotas")
    for key, style in (("guaranteed", ":"), ("cap", "--")):
        if resource in last[key]:
            axis.axhline(last[key][resource], linestyle=style, color="black", linewidth=0.8, label=key)
    axis.set_title(f"{'    ' * last['depth']}{last['level']}", loc="left", fontsize=9)
    axis.set_ylim(bottom=0)


def write_page(samples_path: Path, target: Path, resource: str) -> str:
    """Plot recorded samples and return a one-line summary; raises SettingsError for an unknown resource."""
    if resource not in RESOURCES:
        raise SettingsError(f"--resource {resource}: must be of {', '.join(RESOURCES)}")
    samples = read_samples(samples_path)
    target.write_text(render_page(samples, resource), encoding="utf-8")
    return f"{target}: {len(samples)} samples of {len(samples[-1].levels)} levels"
