"""Run the daemon's components on green threads, as in a daemon."""

from citronvalve.daemon import green


def before_all(context):
    """Switch to green threads before anything opens a socket."""
    green.patch()


def after_scenario(context, scenario):
    """Close what the scenario opened."""
    rig = getattr(context, "rig", None)
    if rig is not None:
        rig.close()
