"""Settings and job descriptions in the form that the platform and its users provide them."""

from typing import Any

import msgspec

from quinceslip.protocol.settings import Settings


def settings_of(facts: dict[str, Any], label: str = "berth-0") -> Settings:
    """The settings that the platform gives one controller of a site with these facts."""
    others = [
        {"label": other, "location": "z", "endpoint": "10.0.0.9:1"}
        for other in (f"berth-{i}" for i in range(facts["size"]))
        if other != label
    ]
    return msgspec.convert(
        {
            "label": label,
            "location": "z",
            "api_addr": "10.0.0.1:80",
            "peer_bind": "10.0.0.1:81",
            "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
            "known": others,
            "facts": facts,
        },
        Settings,
    )


def job_spec(job_id: str, **changes: Any) -> dict[str, Any]:
    """A job's description as its user submits it, with `changes` to the defaults.

    Raises AssertionError for an unknown field.
    """
    spec = {
        "uid": job_id,
        "lane": "batch",
        "crew": "team",
        "shape": "array",
        "rank": "normal",
        "picks": 1,
        "vcpus": 2.0,
        "gpus": 0.0,
        "memGb": 1.0,
        "kit": "img-1",
        "sizeGb": 1.0,
        "builds": None,
        "yard": None,
        "together": False,
        "spread": False,
        "loaners": True,
        "expectS": 5.0,
        "markEveryS": 0.0,
        "markCostS": 0.0,
        "dueS": None,
        "waitsOn": [],
    }
    assert changes.keys() <= spec.keys(), f"unknown fields of a job: {sorted(changes.keys() - spec.keys())}"
    return {**spec, **changes}
