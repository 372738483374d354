"""HTML pages of plots, for subcommands that draw. matplotlib draws (extra `plots`); controllers never import this."""

import html
import io
from typing import Any

from quinceslip.protocol.settings import SettingsError


def pyplot() -> Any:
    """matplotlib's pyplot, set to draw SVG; raises SettingsError where it is not installed."""
    try:
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot as drawn
    except ImportError as error:
        raise SettingsError("plots need matplotlib: pip install -r requirements-plots.txt") from error
    return drawn


def rows(count: int, width: float) -> tuple[Any, Any]:
    """A figure of so many plots one below the other, over one axis; its plots from the top. Width in inches."""
    figure, axes = pyplot().subplots(count, 1, figsize=(width, 1.9 * count + 0.6), sharex=True, squeeze=False)
    return figure, axes[:, 0]


def page(figure: Any, name: str, heading: str, text: str) -> str:
    """One page with the figure in it; the figure is closed."""
    figure.tight_layout()
    picture = io.StringIO()
    figure.savefig(picture, format="svg")
    pyplot().close(figure)
    svg = picture.getvalue()
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(name)}</title>"
        f"<body style='font-family:sans-serif'><h1>{html.escape(heading)}</h1><p>{html.escape(text)}</p>"
        f"{svg[svg.index('<svg') :]}</body></html>"
    )
