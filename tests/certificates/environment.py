"""One deployment shared by the scenarios that stop no process."""

from tests.certificates import deployed


def before_feature(context, feature):
    """Start a record service behind two daemons."""
    deployed.start(context)
