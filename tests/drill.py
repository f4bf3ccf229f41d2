"""A deployment for the scenarios of one feature, ended with it."""

import pathlib
import tempfile
import time

from standins import deployment as deployments
from standins import fleet as fleets

#: Drills on real processes wait for a condition, up to this long; none
#: waits for a time to pass.
PATIENCE = 30.0
_LOOK = 0.02


def open_in(context, datacentres=("sapporo",)):
    """Start an empty deployment that ends with the feature or scenario."""
    folder = tempfile.TemporaryDirectory()
    fleet = fleets.Fleet(pathlib.Path(folder.name))
    context.add_cleanup(folder.cleanup)
    context.add_cleanup(fleet.end)
    return deployments.Deployment(fleet, datacentres)


def eventually(condition, what):
    """Wait until a condition holds."""
    until = time.monotonic() + PATIENCE
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(_LOOK)
    raise AssertionError(f"not in {PATIENCE} s: {what}")
