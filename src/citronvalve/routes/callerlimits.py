"""Limits on the size and duration of a caller's requests."""

from typing import NamedTuple

from citronvalve.model import clock


class CallerLimits(NamedTuple):
    """Limits for one connection; the defaults apply without a configuration.

    ``header_timeout`` is the maximum ms until a header is complete,
    ``idle_timeout`` between two requests.  ``body_timeout`` is the maximum ms
    from there until the body is complete, ``write_timeout`` until a caller
    has read some of a response.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: clock.Ms = 3_000
    idle_timeout: clock.Ms = 15_000
    body_timeout: clock.Ms = 60_000
    write_timeout: clock.Ms = 10_000
