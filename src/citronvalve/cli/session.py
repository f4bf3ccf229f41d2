"""Access to the platform's table for the commands."""

import os
import random
import time

from citronvalve.model import clock
from citronvalve.storage import client
from citronvalve.storage import httptable
from citronvalve.table import editor

#: Environment variable with the default URL of the platform.
PLATFORM_VARIABLE = "CITRONVALVE_PLATFORM"

_DEFAULT_PLATFORM = "http://127.0.0.1:7300"

#: Long enough for a slow store, short enough for a waiting operator.
_TIMEOUT: clock.Ms = 10_000

#: Delay before the first retry to settle an edit whose response was lost.
_FIRST_PAUSE_SECONDS = 0.25


def open_table(platform: str) -> httptable.HttpTable:
    """Return the table service of the platform.

    :param platform: URL; if empty, the environment variable or the default.
    """
    address = platform or os.environ.get(PLATFORM_VARIABLE, _DEFAULT_PLATFORM)
    address = address.removeprefix("http://").rstrip("/")
    return httptable.HttpTable(client.PlatformClient(address, _TIMEOUT))


def open_editor(platform: str) -> editor.Editor:
    """Return an editor of the platform's table.

    :param platform: URL; if empty, the environment variable or the default.
    """
    rng = random.SystemRandom()

    def pause(tried: int) -> None:
        # Exponential backoff with jitter, since many tools may be retrying
        # on the same store.
        time.sleep(_FIRST_PAUSE_SECONDS * 2**tried * rng.uniform(0.5, 1))

    return editor.Editor(open_table(platform), clock.SystemClock(), rng, pause)
