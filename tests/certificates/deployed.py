"""What the drills about certificates run on."""

import signal

from tests import drill


def start(context):
    """Start a record service behind two daemons."""
    made = drill.open_in(context)
    context.made = made
    context.service = made.records("records-1", "sapporo", "--work-time=300")
    made.daemons(2)
    made.start()
    # One that was made to fall silent would not end in order.
    service = made.fleet.process_by_name["records-1"]
    context.add_cleanup(service.send, signal.SIGKILL)
