"""Usage of each level over a run: samples of `quota show` as JSON lines, and one HTML page of them.

matplotlib draws (extra `plots`); controllers never import this.
"""

import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TextIO

import msgspec

from quinceslip import plotting
from quinceslip.protocol.settings import SettingsError
from quinceslip.quota.amounts import RESOURCES

#: what several controllers report of their own shards adds up
SUMMED = ("used", "lent", "borrowed", "waiting")


def record(
    fetch: Callable[[str], dict[str, Any]], addresses: Sequence[str], every_s: float, for_s: float, out: TextIO
) -> int:
    """Write one line a sample, each summed over the controllers that answer; returns how many."""
    written, started = 0, time.monotonic()
    while (at_s := time.monotonic() - started) < for_s:
        found = []
        for address in addresses:
            try:
                found.append(fetch(address))
            except SettingsError:
                continue  # it is down: the others' shards are shown without it
        if found:
            out.write(msgspec.json.encode({"at_s": round(at_s, 3), "levels": merged(found)}).decode() + "\n")
            out.flush()
            written += 1
        time.sleep(max(0.0, started + (written + 1) * every_s - time.monotonic()))
    return written


def merged(pages: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """Levels of several controllers, with what each reports of its own shards added up."""
    levels: dict[str, dict[str, Any]] = {}
    for page in pages:
        for level in page["levels"]:
            known = levels.setdefault(level["level"], {**level, **{key: {} for key in SUMMED}})
            for key in SUMMED:
                for kind, value in level[key].items():
                    known[key][kind] = known[key].get(kind, 0.0) + value
    return list(levels.values())


def read(path: Path) -> list[dict[str, Any]]:
    """Samples in the order in which they were taken; raises SettingsError for a line that is none."""
    samples = []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    for number, line in enumerate(lines, 1):
        try:
            sample = msgspec.json.decode(line, type=dict[str, Any])
            samples.append({"at_s": float(sample["at_s"]), "levels": sample["levels"]})
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            raise SettingsError(f"{path}: line {number}: no sample of quotas: {error}") from error
    if not samples:
        raise SettingsError(f"{path}: no samples")
    return samples


def page(samples: Sequence[dict[str, Any]], resource: str) -> str:
    """One HTML page: for every level its use against its guarantee and cap, and what waits."""
    names = [level["level"] for level in samples[-1]["levels"]]
    times = [sample["at_s"] for sample in samples]
    by_name = [{level["level"]: level for level in sample["levels"]} for sample in samples]
    figure, axes = plotting.rows(len(names), 9)
    for axis, name in zip(axes, names, strict=True):

        def series(key: str, name: str = name) -> list[float]:
            return [found.get(name, {}).get(key, {}).get(resource, 0.0) for found in by_name]

        last = by_name[-1][name]
        used = series("used")
        axis.fill_between(times, used, step="post", color="#4878a8", alpha=0.6, label="used")
        axis.step(
            times,
            [u + w for u, w in zip(used, series("waiting"), strict=True)],
            where="post",
            color="#c06030",
            linewidth=0.9,
            label="used and held up by quotas",
        )
        for key, style in (("guaranteed", ":"), ("cap", "--")):
            if resource in last[key]:
                axis.axhline(last[key][resource], linestyle=style, color="black", linewidth=0.8, label=key)
        axis.set_title(f"{'    ' * last['depth']}{name}", loc="left", fontsize=9)
        axis.set_ylim(bottom=0)
    axes[0].legend(loc="upper right", fontsize=7)
    axes[-1].set_xlabel("seconds")
    return plotting.page(figure, "quotas", "AllocationManager", f"{resource} of each level, {len(samples)} samples")


def write_page(samples_path: Path, target: Path, resource: str) -> str:
    if resource not in RESOURCES:
        raise SettingsError(f"--resource {resource}: must be of {', '.join(RESOURCES)}")
    samples = read(samples_path)
    target.write_text(page(samples, resource), encoding="utf-8")
    return f"{target}: {len(samples)} samples of {len(samples[-1]['levels'])} levels"
