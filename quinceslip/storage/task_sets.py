"""Compact text for sets of task numbers, as they stand in job records."""

import base64


def encode(numbers: set[int]) -> str:
    """Write a set as ranges ("0-4,7"), or as a bitmap where that is shorter."""
    if not numbers:
        return ""
    parts: list[str] = []
    ordered = sorted(numbers)
    first = last = ordered[0]
    for number in [*ordered[1:], -1]:
        if number == last + 1:
            last = number
            continue
        parts.append(str(first) if first == last else f"{first}-{last}")
        first = last = number
    ranges = ",".join(parts)
    if len(ranges) <= 64:
        return ranges
    bitmap = bytearray(ordered[-1] // 8 + 1)
    for number in ordered:
        bitmap[number // 8] |= 1 << (number % 8)
    packed = "~" + base64.b85encode(bytes(bitmap)).decode("ascii")
    return packed if len(packed) < len(ranges) else ranges


def decode(text: str) -> set[int]:
    """Read what `encode` wrote."""
    if not text:
        return set()
    if text.startswith("~"):
        bitmap = base64.b85decode(text[1:])
        return {8 * i + bit for i, byte in enumerate(bitmap) if byte for bit in range(8) if byte >> bit & 1}
    numbers: set[int] = set()
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers.update(range(int(first), int(last or first) + 1))
    return numbers
