"""Format timestamps as text."""

import datetime

from citronvalve.model import clock


def format_utc(at: clock.Ms) -> str:
    """Return a timestamp as text in UTC, with seconds.

    :param at: ms since the epoch.
    """
    moment = datetime.datetime.fromtimestamp(
        at // clock.SECOND, datetime.timezone.utc
    )
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
