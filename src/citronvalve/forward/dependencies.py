"""The components that requests in progress use."""

from typing import NamedTuple

from citronvalve.forward import connectionpool
from citronvalve.forward import connector as connectors
from citronvalve.forward import crashdetector
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import leaving as leaving_
from citronvalve.forward import limiter as limiters
from citronvalve.forward import placement as placements
from citronvalve.forward import rests as rests_
from citronvalve.forward import retrybudgets
from citronvalve.forward import stalldetector
from citronvalve.policy import upstreamchoice


class Dependencies(NamedTuple):
    """The components of one daemon, shared by all its requests."""

    env: environments.Environment
    directory: directories.Directory
    loads: upstreamchoice.LoadTable
    connector: connectors.Connector
    pool: connectionpool.ConnectionPool
    placement: placements.Placement
    retry_budgets: retrybudgets.RetryBudgets
    stall_detector: stalldetector.StallDetector
    crash_detector: crashdetector.CrashDetector
    limiter: limiters.Limiter
    rests: rests_.Rests
    leaving: leaving_.Leaving
