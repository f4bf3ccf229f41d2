"""What can happen to a group."""

import enum


class Event(enum.StrEnum):
    """One look at a group, with what the plan says of it."""

    #: Every VM holds what the phase asks for.
    CONVERGED = "whole"
    #: A VM is missing.
    LOST = "lost"
    #: A VM answers, and holds something else.
    DIVERGED = "strange"
    #: Nothing to act on yet.
    WAITING = "waiting"
    #: The plan has a spare for each VM lost.
    REPAIR = "repair"
    #: Operators want another model, adapter, version or role.
    OUTDATED = "outdated"
    #: A VM is about to leave, and there is a spare.
    LEAVING = "leaving"
    #: Operators or the plan give the group up.
    UNWANTED = "unwanted"
    #: The group that is given up has no request in progress.
    DRAINED = "idle"
