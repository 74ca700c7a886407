"""Formats plain text tables for terminals."""

from collections.abc import Sequence

COLUMN_GAP = "  "


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return the text of a table with left-aligned columns."""
    lines = [list(header), *[list(row) for row in rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
