"""HTML pages that need nothing else."""

import html
from collections.abc import Iterable, Sequence

STYLE = """\
body { font: 15px/1.5 sans-serif; max-width: 62rem; margin: 2rem auto;
       padding: 0 1rem; color: #1c1c1c; }
table { border-collapse: collapse; width: 100%; margin: 1rem 0; }
th, td { text-align: left; vertical-align: top; padding: .35rem .6rem;
         border-bottom: 1px solid #ddd; }
.held { color: #2a7f4f; } .broken { color: #b3261e; font-weight: bold; }
.not { color: #5c6070; } img { width: 100%; } code { font-size: 90%; }
"""


def document(title: str, body: Iterable[str]) -> str:
    """Builds a page from a plain title and parts of HTML."""
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{STYLE}</style></head>"
        f"<body>{''.join(body)}</body></html>\n"
    )


def image(uri: str, label: str) -> str:
    """Builds an image from a data URI and a plain label."""
    return f'<img src="{uri}" alt="{html.escape(label)}">'


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Builds a table; cells are HTML."""
    top = "".join(f"<th>{cell}</th>" for cell in head)
    lines = (
        "<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{top}</tr>{''.join(lines)}</table>"
