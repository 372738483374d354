"""The options (`name=value` words) of a scenario line."""

from collections.abc import Iterator
from typing import Any


def value(text: str) -> Any:
    """Parse a word of a line as a boolean, a number or text."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


class Options(dict[str, Any]):
    """The options of a line. It records which ones the verb reads, so that an unknown option is an error."""

    def __init__(self, given: dict[str, Any]) -> None:
        super().__init__(given)
        self.unused = set(given)

    def __getitem__(self, key: str) -> Any:
        self.unused.discard(key)
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        """Return the value of an option, and mark it as used."""
        self.unused.discard(key)
        return super().get(key, default)

    def pop(self, key: str, *default: Any) -> Any:
        """Remove an option and return its value."""
        self.unused.discard(key)
        return super().pop(key, *default)

    def __contains__(self, key: object) -> bool:
        self.unused.discard(str(key))
        return super().__contains__(key)

    def items(self) -> Any:
        """Return all options, and mark them as used."""
        self.unused.clear()
        return super().items()

    def __iter__(self) -> Iterator[str]:
        self.unused.clear()
        return super().__iter__()

    def keys(self) -> Any:
        """Return the names of all options, and mark them as used."""
        self.unused.clear()
        return super().keys()
