"""The `name=value` words of a scenario line."""

from collections.abc import Iterator
from typing import Any


def value(text: str) -> Any:
    """A word of a line as a boolean, a number or text."""
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


class Fields(dict[str, Any]):
    """The `name=value` words of a line; one that its verb never looks at is an error, not ignored."""

    def __init__(self, given: dict[str, Any]) -> None:
        super().__init__(given)
        self.left = set(given)

    def __getitem__(self, key: str) -> Any:
        self.left.discard(key)
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        """The value of a field, which is used by this."""
        self.left.discard(key)
        return super().get(key, default)

    def pop(self, key: str, *default: Any) -> Any:
        """The value of a field, which is used by this and gone."""
        self.left.discard(key)
        return super().pop(key, *default)

    def __contains__(self, key: object) -> bool:
        self.left.discard(str(key))
        return super().__contains__(key)

    def items(self) -> Any:
        """All fields, which are used by this."""
        self.left.clear()
        return super().items()

    def __iter__(self) -> Iterator[str]:
        self.left.clear()
        return super().__iter__()

    def keys(self) -> Any:
        """The names of all fields, which are used by this."""
        self.left.clear()
        return super().keys()
