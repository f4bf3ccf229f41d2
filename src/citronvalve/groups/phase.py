"""The phases of a replica group."""

import enum


class Phase(enum.StrEnum):
    """Where a group stands; only SERVING may be given work."""

    #: Declared, but no domain has the VMs; shown to operators, not stored.
    PLANNED = "planned"
    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    #: Takes no work; a VM is missing, or a change waits for idle VMs.
    CLOSED = "closed"
    DISSOLVING = "dissolving"
