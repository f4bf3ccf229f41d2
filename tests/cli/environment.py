"""Start one platform process for all scenarios of the tool."""

import pathlib
import tempfile

from standins import fleet


def before_all(context):
    """Start the platform process."""
    context.folder = tempfile.TemporaryDirectory()
    context.fleet = fleet.Fleet(pathlib.Path(context.folder.name))
    context.fleet.start_platform()


def after_all(context):
    """Stop the platform process."""
    context.fleet.end()
    context.folder.cleanup()
