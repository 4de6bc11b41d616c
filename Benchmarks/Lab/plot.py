"""Draws a bar chart as SVG: a bar for each group's median, a dot for each run."""

from html import escape
from statistics import median

WIDTH = 720
ROW_HEIGHT = 26
LABEL_WIDTH = 220
TOP = 34


def bar_chart(title, groups):
    """Returns the SVG text. `groups` holds pairs of a label and its values."""
    maximum = max((max(values) for _, values in groups), default=0) or 1
    scale = (WIDTH - LABEL_WIDTH - 80) / maximum
    height = TOP + ROW_HEIGHT * len(groups) + 10
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
             'font-family="sans-serif" font-size="12">',
             f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
             f'<text x="8" y="20" font-size="14">{escape(title)}</text>']
    for number, (label, values) in enumerate(groups):
        parts += _bar(label, values, TOP + ROW_HEIGHT * number, scale)
    return "\n".join([*parts, "</svg>", ""])


def _bar(label, values, top, scale):
    middle = top + ROW_HEIGHT / 2
    width = max(0.0, median(values) * scale)
    parts = [f'<text x="8" y="{middle + 4:.0f}">{escape(label)}</text>',
             f'<rect x="{LABEL_WIDTH}" y="{top + 4}" width="{width:.1f}" '
             f'height="{ROW_HEIGHT - 8}" fill="#8fb8de"/>',
             f'<text x="{WIDTH - 70}" y="{middle + 4:.0f}">{median(values):.4g}</text>']
    parts += [f'<circle cx="{LABEL_WIDTH + max(0.0, value * scale):.1f}" cy="{middle:.0f}" '
              'r="3" fill="#1f4e79"/>' for value in values]
    return parts
