"""The soak runs on green threads."""

from citronvalve.daemon import green


def before_all(context):
    """Patch before the soak is imported."""
    green.patch()
