"""What each command works with: the platform and an editor on it."""

import os
import random
import time

from citronvalve.model import clock
from citronvalve.storage import client
from citronvalve.storage import httptable
from citronvalve.table import editor

#: Names the platform for all commands of a shell.
PLATFORM_VARIABLE = "CITRONVALVE_PLATFORM"

_DEFAULT_PLATFORM = "http://127.0.0.1:7300"

#: An operator waits for it; a store that is slow but alive still answers.
_TIMEOUT: clock.Ms = 10_000

#: First wait before an edit with a lost answer is settled again, in s.
_FIRST_PAUSE_SECONDS = 0.25


def open_table(platform: str) -> httptable.HttpTable:
    """Return the table service.

    :param platform: URL, or empty for that of the environment.
    """
    address = platform or os.environ.get(PLATFORM_VARIABLE, _DEFAULT_PLATFORM)
    address = address.removeprefix("http://").rstrip("/")
    return httptable.HttpTable(client.PlatformClient(address, _TIMEOUT))


def open_editor(platform: str) -> editor.Editor:
    """Return an editor of the table.

    :param platform: URL, or empty for that of the environment.
    """
    rng = random.SystemRandom()

    def pause(tried: int) -> None:
        # Doubled and spread out: many tools may be waiting for one store.
        time.sleep(_FIRST_PAUSE_SECONDS * 2**tried * rng.uniform(0.5, 1))

    return editor.Editor(open_table(platform), clock.SystemClock(), rng, pause)
