"""The phases of a replica group."""

import enum


class Phase(enum.StrEnum):
    """The phase of a group; only SERVING receives requests."""

    #: Declared, but no domain has enough free VMs; shown to operators only.
    PLANNED = "planned"
    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    #: Receives no requests: a VM is lost, or a change waits for the drain.
    CLOSED = "closed"
    DISSOLVING = "dissolving"
