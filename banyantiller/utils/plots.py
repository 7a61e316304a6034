"""Plots as SVG data URIs; requires the optional extra `report`."""

import base64
import io
from collections.abc import Callable
from typing import Any

from banyantiller import exceptions

# Width and height of a plot, in inches.
SIZE_IN = (9.0, 2.8)

Draw = Callable[[Any], None]


def load_library() -> Any:
    """Imports matplotlib with a backend that needs no display.

    Raises:
        PluginError: Matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        raise exceptions.PluginError(
            "The report needs matplotlib; install it with"
            " pip install 'banyantiller[report]'."
        ) from None
    matplotlib.use("svg")
    from matplotlib import pyplot

    return pyplot


def to_data_uri(draw: Draw, title: str) -> str:
    """Draws one plot and returns it as a data URI.

    Args:
        draw: Draws on the axes that it gets.
        title: Title above the plot.
    """
    pyplot = load_library()
    figure, axes = pyplot.subplots(figsize=SIZE_IN)
    try:
        draw(axes)
        axes.set_title(title, loc="left", fontsize=10)
        for side in ("top", "right"):
            axes.spines[side].set_visible(False)
        buffer = io.BytesIO()
        figure.savefig(buffer, format="svg", bbox_inches="tight")
    finally:
        pyplot.close(figure)
    encoded = base64.b64encode(buffer.getvalue()).decode("ascii")
    return f"data:image/svg+xml;base64,{encoded}"
