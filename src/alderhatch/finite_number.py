"""Reads numbers that others write as text."""

from __future__ import annotations

import math


def finite_number(text: str) -> float | None:
    """Return the number that a text stands for; None if it is none, NaN or infinite.

    A NaN passes each comparison as false, and neither it nor infinity can be written as an integer,
    so both would fail only where they are used.
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
