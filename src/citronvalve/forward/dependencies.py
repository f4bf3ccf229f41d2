"""The components that requests in progress use."""

from typing import NamedTuple

from citronvalve.forward import connectionpool
from citronvalve.forward import connector as connectors
from citronvalve.forward import crashdetector
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import listcheck
from citronvalve.forward import needs as needs_
from citronvalve.forward import placement as placements
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
    needs: needs_.Needs
    list_check: listcheck.ListCheck
