"""The stored row that assigns a VM to a group."""

from typing import NamedTuple


class Owner(NamedTuple):
    """The owner of a VM; an empty ``group`` means that it is unowned.

    ``fence`` is the highest fencing token used for this VM.  It must never
    decrease, so the row is kept when the VM is released.
    """

    vm: str
    group: str
    fence: int
    attempt: str
