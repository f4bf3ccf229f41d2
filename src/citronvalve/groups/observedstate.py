"""The input of the decisions of one step."""

from typing import NamedTuple

from citronvalve.groups import rowcache
from citronvalve.groups import timing
from citronvalve.groups import vmstatus
from citronvalve.groups import wanted
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.storage import vmlist


class ObservedState(NamedTuple):
    """Rows, read-backs, the VM list and the declared configuration.

    ``uncertain_until_by_vm`` is the time until which an unanswered order may
    still arrive at a VM.
    ``orders_settled_at`` is the time from which no order of an earlier
    leader can arrive.
    ``drained_groups`` names the closed groups that count as drained.
    ``now`` is monotonic time, ``wall`` is wall time for records; both in ms.
    """

    declared: declared.Declared
    cache: rowcache.RowCache
    status_by_vm: dict[str, vmstatus.VmStatus]
    uncertain_until_by_vm: dict[str, clock.Ms]
    listed_by_vm: dict[str, vmlist.VmRecord]
    timings: timing.Timing
    orders_settled_at: clock.Ms
    drained_groups: frozenset[str]
    now: clock.Ms
    wall: clock.Ms

    def declared_groups(self) -> dict[str, declared.Group]:
        """Return the groups declared for this data centre, by name."""
        return {
            name: each
            for name, each in self.declared.group_by_name.items()
            if each.datacentre == self.cache.datacentre
        }

    def wanted(self, group: declared.Group) -> wanted.Wanted:
        """Return what the engines of a declared group are to run.

        :param group: the declared row.
        """
        model = self.declared.model_by_name.get(group.model)
        version = model.version if model else ""
        return wanted.Wanted(group.model, version, group.adapter, group.role)

    def is_settled(self, vms: tuple[str, ...]) -> bool:
        """Tell whether the read-backs are newer than any order in flight.

        :param vms: names of the VMs.
        """
        return all(
            status is not None
            and status.seen_at >= self.orders_settled_at
            and status.seen_at >= self.uncertain_until_by_vm.get(vm, 0)
            for vm, status in ((v, self.status_by_vm.get(v)) for v in vms)
        )
