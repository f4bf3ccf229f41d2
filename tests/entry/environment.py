"""Starts one deployment per feature."""

import json

import urllib3

from standins import fleet as fleets
from tests import drill


def before_feature(context, feature):
    """Start one daemon, two engines and a record service."""
    made = drill.open_in(context)
    context.made = made
    context.engines = [
        made.engine(f"vm-{n}", "sapporo", "--token-time=2", "--slots=64")
        for n in (1, 2)
    ]
    context.records = made.records("records-1", "sapporo")
    made.daemons(1, write_timeout=1_500)
    made.start()


def after_scenario(context, scenario):
    """Check that no request is left in progress."""

    def clean():
        status = fleets.status(context.made.addresses())
        loads = [
            json.loads(urllib3.request("GET", f"http://{a}/load").data)
            for a in context.engines
        ]
        return status["in_progress"] == 0 and not any(
            load["running"] for load in loads
        )

    drill.eventually(clean, "no request is left in the daemon or an engine")
