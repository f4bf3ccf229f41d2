"""Set up the adapter, which is outside the package and uses green threads."""

import pathlib
import sys

from citronvalve.daemon import green

_FOLDER = pathlib.Path(__file__).parent.parent.parent / "platform"


def before_all(context):
    """Make the adapter importable, as the program does, and patch."""
    sys.path.insert(0, str(_FOLDER))
    green.patch()


def after_scenario(context, scenario):
    """Close the store of the scenario."""
    store = getattr(context, "store", None)
    if store is not None:
        store.close()
