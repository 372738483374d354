"""Clocks in whole microseconds."""

import time


def steady_us() -> int:
    """Monotonic time; comparable only within this process."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Time since the epoch; it may be set back, and differs between machines."""
    return time.time_ns() // 1000
