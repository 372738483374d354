"""Constrained field types shared by several messages."""

from typing import Annotated

from msgspec import Meta

#: the largest accepted request body, in bytes (PROTOCOL)
MAX_BODY_BYTES = 64 * 1024

#: larger amounts (CPUs, GB, seconds) count as this one in calculations, so that their sums and multiples stay finite
MAX_AMOUNT = 1e9
#: the largest number of tasks of a job (PROTOCOL)
MAX_TASKS = 100_000

#: the most characters of a name, and the most digits of a job id
MAX_TEXT_LENGTH = 200
MAX_JOB_ID_DIGITS = 32

UnsignedInteger = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0)]
Text = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
JobId = Annotated[str, Meta(pattern=rf"^req-[0-9]{{1,{MAX_JOB_ID_DIGITS}}}$")]
