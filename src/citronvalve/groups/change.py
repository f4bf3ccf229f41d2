"""One change of one group, as a transaction on its rows."""

from typing import NamedTuple

from citronvalve.groups import owner
from citronvalve.groups import record
from citronvalve.groups import rowcache
from citronvalve.model import invariant
from citronvalve.storage import rows


class Change(NamedTuple):
    """From a group's record to the next; None is no group.

    ``ordering`` says that orders follow: the rows of the VMs are written
    too, each on the condition that nobody wrote it since.
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
        """Return the VMs of before and after, each once."""
        names = [vm for r in (self.before, self.after) if r for vm in r.vms]
        return tuple(dict.fromkeys(names))


def transaction(
    change: Change,
    cache: rowcache.RowCache,
    lease_condition: rows.Condition,
    attempt: str,
    invariants: invariant.Invariants,
) -> rows.Transaction:
    """Write a change as a transaction.

    The condition on each VM's own row is what makes it safe: of two leaders
    that plan with one VM, the second finds the row changed and writes
    nothing, whatever either believes of its lease.  The condition on the
    lease stops a holder that was paused before it wrote its intent.

    :param change: what is to change.
    :param known: the rows that it was decided on.
    :param leased: the leader's own lease row, as it wrote it.
    :param attempt: id of this try.
    :param held: where promises are asserted.
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
    """Write the intent to empty a VM that nobody owns.

    Its engine holds something under a fence that our row does not know: the
    row is raised first, so that the order is not refused.

    :param vm: its name.
    :param seen: the fence read back from its engine.
    :param known: the rows.
    :param leased: the leader's own lease row.
    :param attempt: id of this try.
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
    """Return a fence above all that were given in the data centre.

    Above those of the VMs would do for the engines.  Routing compares the
    fences of one group's states, and a name may be used again for other
    VMs: their states would be taken for old ones.

    :param known: the rows, each of which keeps the highest fence of its VM.
    :param before: the group's record, if it has one.
    :param seen: the highest fence read back from the engines.
    """
    fences = [each.fence for each in cache.owner_by_vm.values()]
    return 1 + max([reported_fence, before.fence if before else 0, *fences])
