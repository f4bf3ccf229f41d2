"""What requests on their way work with."""

from typing import NamedTuple

from citronvalve.forward import connectionpool as links_
from citronvalve.forward import crashdetector as crashes_
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import placement as placings
from citronvalve.forward import retrybudgets as repeats_
from citronvalve.forward import stalldetector as stalls_
from citronvalve.policy import upstreamchoice


class Dependencies(NamedTuple):
    """One daemon's parts, shared by all its requests."""

    env: environments.Environment
    directory: directories.Directory
    book: upstreamchoice.LoadTable
    links: links_.ConnectionPool
    placing: placings.Placement
    repeats: repeats_.RetryBudgets
    stalls: stalls_.StallDetector
    crashes: crashes_.CrashDetector
