"""A list of VMs in memory, which lags by what it is told."""

from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.storage import vmlist
from standins import faults


class MemoryVms(vmlist.VmList):
    """What the platform believes; a change shows after ``lag``.

    :param now: clock that the lag is measured by.
    :param lag: ms from a change until the list shows it.
    """

    def __init__(self, now: clock.Clock, lag: clock.Ms = 0) -> None:
        self.faults = faults.Faults()
        self._clock = now
        self._lag = lag
        self._changes: list[tuple[clock.Ms, str, vmlist.VmRecord | None]] = []

    def put(self, record: vmlist.VmRecord) -> None:
        """Add or change a VM.

        :param record: the VM as it is now.
        """
        self._changes.append((self._clock.now(), record.vm, record))

    def remove(self, vm: str) -> None:
        """Take a VM away.

        :param vm: its name.
        """
        self._changes.append((self._clock.now(), vm, None))

    def vms(
        self, datacentre: str
    ) -> tuple[vmlist.VmRecord, ...] | missing.Unavailable:
        if self.faults.strikes(faults.Fault.DOWN):
            return missing.Unavailable("the VM list is down", datacentre)
        shown: dict[str, vmlist.VmRecord | None] = {}
        until = self._clock.now() - self._lag
        for at, vm, record in self._changes:
            if at <= until:
                shown[vm] = record
        return tuple(
            record
            for _, record in sorted(shown.items())
            if record and record.datacentre == datacentre
        )
