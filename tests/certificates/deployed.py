"""Deployment for the scenarios about certificates."""

import signal

from tests import drill


def start(context):
    """Start a record service behind two daemons."""
    made = drill.open_in(context)
    context.made = made
    context.service = made.records("records-1", "sapporo", "--work-time=300")
    made.daemons(2)
    made.start()
    # A service with a silent fault would not shut down cleanly.
    service = made.fleet.process_by_name["records-1"]
    context.add_cleanup(service.send, signal.SIGKILL)
