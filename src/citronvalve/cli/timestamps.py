"""Writes moments for people."""

import datetime

from citronvalve.model import clock


def format_utc(at: clock.Ms) -> str:
    """Return a moment in UTC, to the second.

    :param at: ms since the epoch.
    """
    moment = datetime.datetime.fromtimestamp(
        at // clock.SECOND, datetime.timezone.utc
    )
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
