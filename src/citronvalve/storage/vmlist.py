"""Interface to the platform's list of VMs, which is delayed."""

import abc
import enum
from typing import NamedTuple

from citronvalve.model import missing


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(NamedTuple):
    """One VM; ``address`` is host:port of its engine's order API."""

    vm: str
    datacentre: str
    domain: str
    address: str
    accelerators: int
    state: VmState = VmState.LIVE


class VmList(abc.ABC):
    """List of VMs; it is delayed and proves nothing about a VM's state."""

    @abc.abstractmethod
    def vms(
        self, datacentre: str
    ) -> tuple[VmRecord, ...] | missing.Unavailable:
        """Return the VMs of a data centre.

        :param datacentre: name of the data centre.
        """
