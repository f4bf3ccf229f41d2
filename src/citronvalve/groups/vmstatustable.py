"""The read-backs of a data centre's VMs."""

from citronvalve.groups import accepted
from citronvalve.groups import engines
from citronvalve.groups import holding
from citronvalve.groups import refused
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.model import clock
from citronvalve.model import missing


class VmStatusTable:
    """Remembers when each VM was heard of, and which orders are unsure.

    :param spans: the limits.
    :ivar sighting_by_vm: the last sightings.
    :ivar unsure_until_by_vm: until when an order without an answer may yet
        arrive at a VM; a read-back made earlier proves nothing about an
        engine that ignores fencing numbers.
    """

    def __init__(self, timings: timing.Timing) -> None:
        self.status_by_vm: dict[str, vmstatus.VmStatus] = {}
        self.uncertain_until_by_vm: dict[str, clock.Ms] = {}
        self._max_order_delay = timings.max_order_delay

    def record_read_back(
        self, vm: str, answer: engines.ReadBack, sent_at: clock.Ms
    ) -> None:
        """Take in the answer to a read-back.

        :param vm: name of the VM that was meant.
        :param answer: what came back.
        :param asked_at: monotonic time in ms before the question was sent;
            the engine may change its state right after it answered.
        """
        last = self.status_by_vm.get(vm)
        if last and sent_at < last.contacted_at:
            # An order was answered while this read-back was under way.
            return
        if isinstance(answer, holding.Holding) and answer.vm == vm:
            new = vmstatus.VmStatus(answer, sent_at, sent_at)
        elif last is None:
            is_down = not isinstance(answer, missing.AnswerLost)
            new = vmstatus.VmStatus(None, sent_at, sent_at, is_down)
        elif isinstance(answer, missing.AnswerLost):
            new = last._replace(contacted_at=sent_at)
        else:
            # Refused, or another VM has the address by now.
            new = last._replace(contacted_at=sent_at, is_down=True)
        self.status_by_vm[vm] = new

    def record_order_answer(
        self, vm: str, answer: engines.Answer, sent_at: clock.Ms
    ) -> None:
        """Take in the answer to an order.

        :param vm: name of the VM.
        :param answer: what came back.
        :param asked_at: monotonic time in ms before the order was sent.
        """
        if isinstance(answer, accepted.Accepted):
            self.record_read_back(vm, answer.holding, sent_at)
        elif not isinstance(answer, refused.Refused):
            uncertain_until = sent_at + self._max_order_delay
            self.uncertain_until_by_vm[vm] = uncertain_until

    def retain(self, vms: set[str]) -> None:
        """Forget all VMs but these.

        :param vms: names that are listed or belong to a group.
        """
        for by_vm in (self.status_by_vm, self.uncertain_until_by_vm):
            for vm in set(by_vm) - vms:
                del by_vm[vm]
