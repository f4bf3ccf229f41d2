"""Makes the adapter importable, and uses green threads, as a daemon does."""

import pathlib
import sys

from citronvalve.daemon import green

# The steps import it.
sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "platform"))


def before_all(context):
    """Switch to green threads before anything opens a socket."""
    green.patch()
