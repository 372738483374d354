"""Constrained field types shared by several messages."""

from typing import Annotated

from msgspec import Meta

#: the largest accepted request body, in bytes (PROTOCOL)
MAX_BODY_BYTES = 64 * 1024

#: larger amounts (CPUs, GB, seconds) count as this one in calculations, so that their sums and multiples stay finite
MAX_AMOUNT = 1e9
#: the largest number of tasks of a job (PROTOCOL)
MAX_TASKS = 100_000

UnsignedInteger = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=200)]
JobId = Annotated[str, Meta(pattern=r"^req-[0-9]{1,32}$")]
