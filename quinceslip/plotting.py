"""HTML pages of plots. Needs matplotlib (extra `plots`), so only the plotting subcommands import this."""

import html
import io
from typing import Any

from quinceslip.protocol.settings import SettingsError

#: height of each plot, in inches
PLOT_HEIGHT_IN = 1.9
#: height of the axis labels below the last plot, in inches
AXIS_LABELS_HEIGHT_IN = 0.6


def pyplot() -> Any:
    """Import matplotlib's pyplot with the SVG backend; raises SettingsError if matplotlib is not installed."""
    try:
        import matplotlib

        matplotlib.use("svg")
        from matplotlib import pyplot as module
    except ImportError as error:
        raise SettingsError("plots need matplotlib: pip install -r requirements-plots.txt") from error
    return module


def stacked_plots(count: int, width: float) -> tuple[Any, Any]:
    """Create a figure of `count` stacked plots that share the x axis; returns it and its plots, top to bottom.

    `width` is in inches. Raises SettingsError if matplotlib is not installed.
    """
    height = PLOT_HEIGHT_IN * count + AXIS_LABELS_HEIGHT_IN
    figure, axes = pyplot().subplots(count, 1, figsize=(width, height), sharex=True, squeeze=False)
    return figure, axes[:, 0]


def page(figure: Any, title: str, heading: str, text: str) -> str:
    """Render an HTML page with a heading, a line of text and the figure, which is then closed."""
    svg = _svg(figure)
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
        f"<body style='font-family:sans-serif'><h1>{html.escape(heading)}</h1><p>{html.escape(text)}</p>"
        f"{svg}</body></html>"
    )


def _svg(figure: Any) -> str:
    """Render the figure as an SVG element without the XML prolog, and close it."""
    figure.tight_layout()
    output = io.StringIO()
    figure.savefig(output, format="svg")
    pyplot().close(figure)
    svg = output.getvalue()
    return svg[svg.index("<svg") :]
