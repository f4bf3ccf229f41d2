"""The status of a data centre's VMs."""

from citronvalve.groups import accepted
from citronvalve.groups import engines
from citronvalve.groups import holding
from citronvalve.groups import refused
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.model import clock
from citronvalve.model import missing


class VmStatusTable:
    """Keeps the status of each VM, and which orders may still arrive.

    :param timings: timeouts and intervals.
    :ivar status_by_vm: last read-back of each VM.
    :ivar uncertain_until_by_vm: monotonic ms until which an unanswered order
        may still arrive at a VM.  An earlier read-back proves nothing about
        an engine that ignores fencing tokens.
    """

    def __init__(self, timings: timing.Timing) -> None:
        self.status_by_vm: dict[str, vmstatus.VmStatus] = {}
        self.uncertain_until_by_vm: dict[str, clock.Ms] = {}
        self._max_order_delay = timings.max_order_delay

    def record_read_back(
        self, vm: str, answer: engines.ReadBack, sent_at: clock.Ms
    ) -> None:
        """Record the answer to a read-back.

        :param vm: name of the VM that was called.
        :param answer: the answer.
        :param sent_at: monotonic time in ms before the call was sent; the
            engine may change its state right after its answer.
        """
        if isinstance(answer, missing.Stale):
            return
        last = self.status_by_vm.get(vm)
        if last and sent_at < last.contacted_at:
            # An order was answered while this read-back was in progress.
            return
        if isinstance(answer, holding.Holding) and answer.vm == vm:
            new = vmstatus.VmStatus(answer, sent_at, sent_at)
        else:
            last = last or vmstatus.VmStatus(None, sent_at, sent_at)
            new = _without_answer(last, answer, sent_at)
        self.status_by_vm[vm] = new

    def record_order_answer(
        self, vm: str, answer: engines.Answer, sent_at: clock.Ms
    ) -> None:
        """Record the answer to an order.

        :param vm: name of the VM.
        :param answer: the answer.
        :param sent_at: monotonic time in ms before the order was sent.
        """
        if isinstance(answer, accepted.Accepted):
            self.record_read_back(vm, answer.holding, sent_at)
        elif not isinstance(answer, refused.Refused):
            uncertain_until = sent_at + self._max_order_delay
            self.uncertain_until_by_vm[vm] = uncertain_until

    def retain(self, vms: set[str]) -> None:
        """Remove all other VMs.

        :param vms: names of the VMs that are listed or in a group.
        """
        for by_vm in (self.status_by_vm, self.uncertain_until_by_vm):
            for vm in set(by_vm) - vms:
                del by_vm[vm]


def _without_answer(
    last: vmstatus.VmStatus, answer: engines.ReadBack, sent_at: clock.Ms
) -> vmstatus.VmStatus:
    if not isinstance(answer, missing.AnswerLost):
        # The connection was refused, or another VM has the address.
        return last._replace(contacted_at=sent_at, is_down=True)
    missed_since = last.missed_since
    if missed_since is None:
        missed_since = sent_at
    return last._replace(contacted_at=sent_at, missed_since=missed_since)
