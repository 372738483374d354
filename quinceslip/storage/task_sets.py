"""A compact text encoding for sets of task numbers, used in job records."""

import base64

from quinceslip.protocol.messages import MAX_TASKS

#: ranges up to this length, in characters, are used without checking whether a bitmap is shorter
MAX_PLAIN_RANGES_LENGTH = 64
#: marks a bitmap; ranges begin with a digit
BITMAP_MARK = "~"


def encode(numbers: set[int]) -> str:
    """Encode a set as ranges ("0-4,7"), or as a bitmap in base 85 if that is shorter."""
    if not numbers:
        return ""
    ordered = sorted(numbers)
    ranges = _encode_ranges(ordered)
    if len(ranges) <= MAX_PLAIN_RANGES_LENGTH:
        return ranges
    bitmap = _encode_bitmap(ordered)
    return bitmap if len(bitmap) < len(ranges) else ranges


def decode(text: str) -> set[int]:
    """Decode the output of `encode`; raises ValueError for anything else."""
    if not text:
        return set()
    if text.startswith(BITMAP_MARK):
        return _decode_bitmap(text.removeprefix(BITMAP_MARK))
    return _decode_ranges(text)


def _encode_ranges(ordered: list[int]) -> str:
    """Encode a non-empty list of ascending numbers as ranges."""
    parts: list[str] = []
    first = last = ordered[0]
    for number in ordered[1:]:
        if number != last + 1:
            parts.append(_encode_range(first, last))
            first = number
        last = number
    parts.append(_encode_range(first, last))
    return ",".join(parts)


def _encode_range(first: int, last: int) -> str:
    return str(first) if first == last else f"{first}-{last}"


def _decode_ranges(text: str) -> set[int]:
    numbers: set[int] = set()
    for part in text.split(","):
        first, _, last = part.partition("-")
        end = int(last or first) + 1
        if end > MAX_TASKS:
            raise ValueError(f"task numbers up to {end - 1}")
        numbers.update(range(int(first), end))
    return numbers


def _encode_bitmap(ordered: list[int]) -> str:
    """Encode numbers as a bitmap, beginning with the lowest bit of the first byte."""
    bitmap = bytearray(ordered[-1] // 8 + 1)
    for number in ordered:
        bitmap[number // 8] |= 1 << (number % 8)
    return BITMAP_MARK + base64.b85encode(bytes(bitmap)).decode("ascii")


def _decode_bitmap(text: str) -> set[int]:
    bitmap = base64.b85decode(text)
    return {8 * index + bit for index, byte in enumerate(bitmap) if byte for bit in range(8) if byte >> bit & 1}
