"""The clocks, in whole microseconds."""

import time


def steady_us() -> int:
    """A clock that never goes back, of this process alone."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Time since the epoch; it may be set back, and differs between machines."""
    return time.time_ns() // 1000
