"""Events that drive the state machine of a group."""

import enum


class Event(enum.StrEnum):
    """The outcome of comparing a group with its record and the plan."""

    #: Every VM holds what the phase requires.
    CONVERGED = "converged"
    #: A VM is lost.
    LOST = "lost"
    #: A VM answers but holds something else.
    DIVERGED = "diverged"
    #: Nothing needs to be done yet.
    WAITING = "waiting"
    #: The plan has a spare for each lost VM.
    REPAIR = "repair"
    #: The declared model, version, adapter or role has changed.
    OUTDATED = "outdated"
    #: A VM is leaving and there is a spare.
    LEAVING = "leaving"
    #: The declaration or the plan requires the group to be dissolved.
    UNWANTED = "unwanted"
    #: The group to be dissolved has no request in progress.
    DRAINED = "drained"
