"""HTML pages of plots, for subcommands that draw. matplotlib draws (extra `plots`); controllers never import this."""

import html
import io
from typing import Any

from quinceslip.protocol.settings import SettingsError

#: inches of a figure: each plot, and the labels below the last one
ROW_HEIGHT = 1.9
LABELS_HEIGHT = 0.6


def pyplot() -> Any:
    """matplotlib's pyplot, set to draw SVG; raises SettingsError where it is not installed."""
    try:
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot as drawing
    except ImportError as error:
        raise SettingsError("plots need matplotlib: pip install -r requirements-plots.txt") from error
    return drawing


def rows(count: int, width: float) -> tuple[Any, Any]:
    """A figure of `count` plots one below the other, over one axis, and its plots from the top; `width` in inches.

    Raises SettingsError where matplotlib is not installed.
    """
    height = ROW_HEIGHT * count + LABELS_HEIGHT
    figure, axes = pyplot().subplots(count, 1, figsize=(width, height), sharex=True, squeeze=False)
    return figure, axes[:, 0]


def page(figure: Any, name: str, heading: str, text: str) -> str:
    """One HTML page titled `name`: a heading, a line of text and the figure, which is closed."""
    svg = _svg(figure)
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(name)}</title>"
        f"<body style='font-family:sans-serif'><h1>{html.escape(heading)}</h1><p>{html.escape(text)}</p>"
        f"{svg}</body></html>"
    )


def _svg(figure: Any) -> str:
    """The figure as an element of a page, without the XML prolog; the figure is closed."""
    figure.tight_layout()
    picture = io.StringIO()
    figure.savefig(picture, format="svg")
    pyplot().close(figure)
    text = picture.getvalue()
    return text[text.index("<svg") :]
