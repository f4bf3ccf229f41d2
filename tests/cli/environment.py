"""Starts the platform's process once for all scenarios of the tool."""

import pathlib
import tempfile

from standins import fleet


def before_all(context):
    """Start the platform."""
    context.folder = tempfile.TemporaryDirectory()
    context.fleet = fleet.Fleet(pathlib.Path(context.folder.name))
    context.fleet.start_platform()


def after_all(context):
    """End it."""
    context.fleet.end()
    context.folder.cleanup()
