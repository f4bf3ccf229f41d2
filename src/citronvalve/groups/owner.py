"""The stored row of a VM: which group it belongs to."""

from typing import NamedTuple


class Owner(NamedTuple):
    """Who owns a VM; an empty ``group`` means nobody.

    The row stays when the VM is given back, since ``fence`` must never
    fall: it is the highest that any order to this VM may carry so far.
    """

    vm: str
    group: str
    fence: int
    attempt: str
