"""One deployment serves the scenarios that end none of its processes."""

from tests.certificates import deployed


def before_feature(context, feature):
    """Start a record service behind two daemons."""
    deployed.start(context)
