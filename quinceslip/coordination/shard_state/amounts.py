"""Amounts of resources on one machine."""

#: amounts of CPUs, GPUs and memory in GB
Resources = tuple[float, float, float]

NO_RESOURCES: Resources = (0.0, 0.0, 0.0)


def add_resources(first: Resources, second: Resources) -> Resources:
    """Return the sum of two amounts."""
    return (first[0] + second[0], first[1] + second[1], first[2] + second[2])
