"""What one caller's connection may send, and how long it may take."""

from typing import NamedTuple

from citronvalve.model import clock


class CallerLimits(NamedTuple):
    """Bytes of a header and a body; ms for a header and between requests.

    The defaults hold until a configuration says otherwise.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: clock.Ms = 3_000
    idle_timeout: clock.Ms = 15_000
