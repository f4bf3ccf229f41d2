"""The platform's lagging list of VMs, as the system sees it."""

import abc
import enum
from typing import NamedTuple

from citronvalve.model import missing


class VmState(enum.StrEnum):
    """What the platform believes of a VM, some time ago."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(NamedTuple):
    """One VM; ``address`` is host:port of its engine's order interface."""

    vm: str
    datacentre: str
    domain: str
    address: str
    accelerators: int
    state: VmState = VmState.LIVE


class VmList(abc.ABC):
    """The list lags: it is a hint of what to look at, never a proof."""

    @abc.abstractmethod
    def vms(
        self, datacentre: str
    ) -> tuple[VmRecord, ...] | missing.Unavailable:
        """List the VMs of a data centre.

        :param datacentre: its name.
        """
