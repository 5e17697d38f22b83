"""Output as JSON, as an aligned table and as a list of fields."""

import json
from collections.abc import Mapping, Sequence

COLUMN_GAP = "  "


def render_json(value: Mapping[str, object]) -> str:
    """Return ``value`` as indented JSON."""
    return json.dumps(value, indent=2) + "\n"


def render_fields(row: Mapping[str, object]) -> str:
    """Return ``row`` with one field per line and aligned values."""
    width = max(len(name) for name in row)
    lines = [f"{name.ljust(width)}  {_format_cell(row[name])}" for name in row]
    return "\n".join(lines) + "\n"


def render_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Return ``rows`` under a header line, or ``none`` if there are no rows.

    The first row determines the columns.
    """
    if not rows:
        return "none\n"
    names = list(rows[0])
    cells = [[_format_cell(row.get(name)) for name in names] for row in rows]
    widths = [
        max(len(name), *(len(line[index]) for line in cells))
        for index, name in enumerate(names)
    ]
    lines: list[str] = []
    for line in [names, *cells]:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        lines.append(COLUMN_GAP.join(padded).rstrip())
    return "\n".join(lines) + "\n"


def _format_cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "any"
    return str(value)
