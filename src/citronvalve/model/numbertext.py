"""Numbers in texts from outside."""

import re

#: Longer numbers are mistakes; without a bound they overflow.
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?", re.ASCII)


def parse_decimal(text: str) -> float | None:
    """Return a non-negative decimal number, or None.

    :param text: such as the value of a header.
    """
    text = text.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None
