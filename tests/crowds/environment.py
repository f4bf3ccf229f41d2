"""Patches blocking calls, since a store and a runner serve in the process."""

from citronvalve.daemon import green


def before_all(context):
    """Patch before the first scenario."""
    green.patch()
