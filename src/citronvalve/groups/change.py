"""Changes of a group, written as transactions on its rows."""

from typing import NamedTuple

from citronvalve.groups import owner
from citronvalve.groups import record
from citronvalve.groups import rowcache
from citronvalve.model import invariant
from citronvalve.storage import rows


class Change(NamedTuple):
    """A group's record before and after the change; None means no group.

    ``has_orders`` says that orders follow from the new record.  The rows of
    the VMs are then written too, on condition that they are unchanged.
    """

    before: record.GroupRecord | None
    after: record.GroupRecord | None
    has_orders: bool = True

    @property
    def group(self) -> str:
        """Return the name of the group."""
        return (self.before or self.after).name

    @property
    def vms(self) -> tuple[str, ...]:
        """Return the VMs of both records without duplicates."""
        names = [vm for r in (self.before, self.after) if r for vm in r.vms]
        return tuple(dict.fromkeys(names))


def transaction(
    change: Change,
    cache: rowcache.RowCache,
    lease_condition: rows.Condition,
    attempt: str,
    invariants: invariant.Invariants,
) -> rows.Transaction:
    """Return a change as a transaction.

    The condition on the row of each VM prevents double assignment: when two
    leaders plan with the same VM, the second transaction fails, even if both
    believe that they hold the lease.  The condition on the lease rejects a
    write by a holder that was paused until its lease was taken over.

    :param change: the change.
    :param cache: the rows that the change was decided on.
    :param lease_condition: that the lease row is as this leader wrote it.
    :param attempt: id of this attempt.
    :param invariants: where invariants are checked.
    """
    groups = rowcache.groups_table(cache.datacentre)
    after = change.after
    conditions = [lease_condition, cache.condition(groups, change.group)]
    value = rowcache.encode(after) if after else None
    writes = [rows.Write(groups, change.group, value)]
    if change.has_orders:
        owners = rowcache.owners_table(cache.datacentre)
        for each in _owners(change, cache, attempt):
            previous = cache.owner_by_vm.get(each.vm)
            invariants.check(
                "no VM is taken from another group",
                previous is None or previous.group in ("", change.group),
                f"{each.vm} of {previous} for {change.group}",
            )
            conditions.append(cache.condition(owners, each.vm))
            writes.append(rows.Write(owners, each.vm, rowcache.encode(each)))
    return rows.Transaction(attempt, tuple(conditions), tuple(writes))


def _owners(
    change: Change, cache: rowcache.RowCache, attempt: str
) -> list[owner.Owner]:
    after = change.after
    fence = after.fence if after else 0
    if after is None:
        fence = next_fence(cache, change.before)
    members = set(after.vms) if after else set()
    return [
        owner.Owner(vm, after.name if vm in members else "", fence, attempt)
        for vm in change.vms
    ]


def raise_fence(
    vm: str,
    engine_fence: int,
    cache: rowcache.RowCache,
    lease_condition: rows.Condition,
    attempt: str,
) -> rows.Transaction:
    """Return a transaction that raises the fence of an unowned VM.

    The VM's engine reports a higher fence than its row.  The row is raised
    above it before the order to close, which the engine would refuse.

    :param vm: name of the VM.
    :param engine_fence: the fence reported by its engine.
    :param cache: the cached rows.
    :param lease_condition: that the lease row is as this leader wrote it.
    :param attempt: id of this attempt.
    """
    fence = next_fence(cache, reported_fence=engine_fence)
    table = rowcache.owners_table(cache.datacentre)
    value = rowcache.encode(owner.Owner(vm, "", fence, attempt))
    return rows.Transaction(
        attempt,
        (lease_condition, cache.condition(table, vm)),
        (rows.Write(table, vm, value),),
    )


def next_fence(
    cache: rowcache.RowCache,
    before: record.GroupRecord | None = None,
    reported_fence: int = 0,
) -> int:
    """Return a fence above all fences used in the data centre.

    For the engines, a fence above those of the group's VMs would do.  But
    routing compares the fences of states by group name, and a name may be
    reused for other VMs, whose states would then look outdated.

    :param cache: the rows, which keep the highest fence of each VM.
    :param before: the group's record, if it has one.
    :param reported_fence: the highest fence reported by the engines.
    """
    fences = [each.fence for each in cache.owner_by_vm.values()]
    return 1 + max([reported_fence, before.fence if before else 0, *fences])
