"""The leader, which runs the replica groups of one data centre."""

from citronvalve.groups import change
from citronvalve.groups import dependencies
from citronvalve.groups import draintracker
from citronvalve.groups import fleetbuilder
from citronvalve.groups import leasemanager
from citronvalve.groups import observedstate
from citronvalve.groups import orders
from citronvalve.groups import phase
from citronvalve.groups import reconciler
from citronvalve.groups import record
from citronvalve.groups import routing
from citronvalve.groups import rowcache
from citronvalve.groups import state
from citronvalve.groups import vmstatustable
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.storage import vmlist

#: Rounds of decisions and orders in one step.  With several rounds, a group
#: whose engines answer at once is formed and starts loading within the step
#: that detected a lost VM, rather than one poll later for each phase.
_MAX_ROUNDS = 4


class Leader:
    """Polls all VMs, and sends orders while it holds the lease.

    Every candidate polls, so that routing has current states even while
    the leader changes or the platform is down.

    :param deps: the dependencies.
    :ivar states: the state of each group after the last step.
    """

    def __init__(self, deps: dependencies.Dependencies) -> None:
        self.states: tuple[state.GroupState, ...] = ()
        self._deps = deps
        self._cache = rowcache.RowCache(deps.datacentre, deps.invariants)
        self._vm_statuses = vmstatustable.VmStatusTable(deps.timings)
        self._drain_tracker = draintracker.DrainTracker(deps.timings)
        self._lease = leasemanager.LeaseManager(
            deps.datacentre, deps.holder, deps.timings
        )
        self._listed_by_vm: dict[str, vmlist.VmRecord] = {}
        self._next_list_at: clock.Ms = -1
        self._attempts = 0
        self._declared: declared.Declared | None = None
        self._sent_orders: set[tuple[str, int]] = set()

    def update_declared(self, declared_table: declared.Declared) -> None:
        """Replace the operators' table.

        :param declared_table: a version of the whole table.
        """
        self._declared = declared_table

    def is_leading(self) -> bool:
        """Tell whether this process holds the lease."""
        return self._lease.is_held(self._deps.clock.now())

    def step(self, now: clock.Ms) -> None:
        """Poll, then lead; called about once a second.

        :param now: monotonic time in ms.
        """
        self.poll()
        self.lead(now)

    def poll(self) -> None:
        """Read back all VMs and update the states for routing.

        Does not access the platform, and may run while :meth:`lead` waits
        for it, so that a slow store does not make the states stale.
        """
        self._poll_vms()
        self._publish()

    def lead(self, now: clock.Ms) -> None:
        """Read the rows, renew the lease, and apply changes if it is held.

        :param now: monotonic time in ms.
        """
        readable = self._read_tables()
        self._read_vm_list(now)
        self._renew_lease()
        if readable and self._declared and self.is_leading():
            self._sent_orders.clear()
            self._run_rounds()
        self._publish()

    def stop(self) -> None:
        """Release the lease, so that the next leader need not await expiry."""
        attempt = self._next_attempt()
        release = self._lease.release(self._deps.clock.now(), attempt)
        if release:
            self._deps.table.commit(release)

    def _next_attempt(self) -> str:
        self._attempts += 1
        return f"{self._deps.holder}#{self._attempts}"

    def _read_tables(self) -> bool:
        for name, apply in (
            (
                rowcache.groups_table(self._deps.datacentre),
                self._cache.apply_groups,
            ),
            (
                rowcache.owners_table(self._deps.datacentre),
                self._cache.apply_owners,
            ),
        ):
            after = self._cache.revision_by_table.get(name, 0)
            scan = self._deps.table.scan(name, after)
            if not isinstance(scan, rows.Scan):
                return False
            apply(scan)
        return True

    def _read_vm_list(self, now: clock.Ms) -> None:
        if now < self._next_list_at:
            return
        vm_records = self._deps.vms.vms(self._deps.datacentre)
        if isinstance(vm_records, missing.Missing):
            return
        self._next_list_at = now + self._deps.timings.list_interval
        self._listed_by_vm = {each.vm: each for each in vm_records}

    def _poll_vms(self) -> None:
        address_by_vm = {
            each.vm: each.address
            for group_record in self._cache.record_by_group.values()
            for each in group_record.members
        }
        for vm, listed in self._listed_by_vm.items():
            address_by_vm.setdefault(vm, listed.address)
        sent_at = self._deps.clock.now()
        answer_by_address = self._deps.engines.read_holdings(
            address_by_vm.values()
        )
        for vm, address in address_by_vm.items():
            self._vm_statuses.record_read_back(
                vm, answer_by_address[address], sent_at
            )
        self._vm_statuses.retain(set(address_by_vm))

    def _publish(self) -> None:
        now = self._deps.clock.now()
        self.states = tuple(
            routing.group_state(
                each,
                self._vm_statuses.status_by_vm,
                now,
                self._deps.timings,
                self._deps.invariants,
            )
            for _, each in sorted(self._cache.record_by_group.items())
        )
        group_by_vm: dict[str, str] = {}
        for each in self.states:
            if each.state is not phase.Phase.SERVING:
                continue
            for vm in each.vms:
                other = group_by_vm.setdefault(vm, each.group)
                self._deps.invariants.check(
                    "no VM serves in two groups", other == each.group, vm
                )

    def _renew_lease(self) -> None:
        if not self._lease.is_due(self._deps.clock.now()):
            return
        row = self._deps.table.read(
            rowcache.LEASES_TABLE, self._deps.datacentre
        )
        if isinstance(row, missing.Unavailable):
            return
        found = row if isinstance(row, rows.Row) else None
        now = self._deps.clock.now()
        lease_write = self._lease.next_write(found, now, self._next_attempt())
        if lease_write is None:
            self._lease.record_lost()
            return
        answer = self._deps.table.commit(lease_write)
        if isinstance(answer, rows.Committed):
            term = lease_write.writes[0].value["term"]
            self._lease.record_granted(answer.revision, term, now)
        elif isinstance(answer, rows.Conflict):
            self._lease.record_lost()

    def _observe(self) -> observedstate.ObservedState:
        deps, now = self._deps, self._deps.clock.now()
        drained = self._drain_tracker.drained_groups(
            self._cache, self._vm_statuses.status_by_vm, deps.engines, now
        )
        return observedstate.ObservedState(
            declared=self._declared,
            cache=self._cache,
            status_by_vm=self._vm_statuses.status_by_vm,
            uncertain_until_by_vm=self._vm_statuses.uncertain_until_by_vm,
            listed_by_vm=self._listed_by_vm,
            timings=deps.timings,
            orders_settled_at=self._lease.acquired_at
            + deps.timings.max_order_delay,
            drained_groups=drained,
            now=now,
            wall=deps.clock.wall(),
        )

    def _run_rounds(self) -> None:
        for _ in range(_MAX_ROUNDS):
            observed = self._observe()
            planned = self._deps.planner.plan(
                fleetbuilder.build_fleet(observed)
            )
            reconciliation = reconciler.Reconciler(
                observed, planned, self._next_attempt, self._deps.invariants
            )
            changed = [self._commit(each) for each in reconciliation.changes()]
            sent_count = self._send_group_orders(observed)
            sent_count += self._clear_strays(observed)
            if not any(changed) and not sent_count:
                return
            if not self._read_tables():
                return

    def _commit(self, wanted_change: change.Change) -> bool:
        attempt = (
            wanted_change.after.attempt
            if wanted_change.after
            else self._next_attempt()
        )
        outcome = self._deps.table.commit(
            change.transaction(
                wanted_change,
                self._cache,
                self._lease.condition,
                attempt,
                self._deps.invariants,
            )
        )
        after = wanted_change.after
        shown = f"{after.phase}: {after.reason}" if after else "removed"
        self._deps.log(f"group {wanted_change.group} {shown}; {outcome!r}")
        # Whether a write without an answer took effect is found by reading
        # the rows, which contain the attempt, before any order is sent.
        return not isinstance(outcome, rows.Conflict | missing.Unavailable)

    def _send_group_orders(self, observed: observedstate.ObservedState) -> int:
        if not self._read_tables():
            return 0
        records = self._cache.record_by_group.values()
        # Loads in progress, also those of an earlier leader, get their slots
        # before new ones, as they already use the weight store.
        for each in records:
            if orders.is_loading(each, observed):
                self._may_load(each)
        due = []
        for each in records:
            due_for_group = orders.group_orders(each, observed)
            if due_for_group and self._may_load(each):
                due += due_for_group
        return self._send_orders(due)

    def _may_load(self, group_record: record.GroupRecord) -> bool:
        if group_record.phase is not phase.Phase.LOADING:
            return True
        slot = self._deps.load_slots.acquire(
            f"{group_record.name}/{group_record.fence}", self._deps.clock.now()
        )
        return not isinstance(slot, missing.Missing)

    def _clear_strays(self, observed: observedstate.ObservedState) -> int:
        due = []
        for vm, reported in orders.strays(observed):
            owner_row = self._cache.owner_by_vm.get(vm)
            address = self._listed_by_vm[vm].address
            stray_order = orders.stray_order(owner_row, reported, address)
            if stray_order:
                due.append(stray_order)
                continue
            self._deps.table.commit(
                change.raise_fence(
                    vm,
                    reported.fence,
                    self._cache,
                    self._lease.condition,
                    self._next_attempt(),
                )
            )
        return self._send_orders(due)

    def _send_orders(self, due: list[orders.AddressedOrder]) -> int:
        # The clock is read just before the orders are sent: the writes may
        # have taken longer than the lease, and another leader may have
        # assigned these VMs by then.
        sent_at = self._deps.clock.now()
        due = [each for each in due if self._is_first_attempt(each)]
        if not due or not self._lease.is_held(sent_at):
            return 0
        answers = self._deps.engines.send_orders(
            [(each.address, each.order) for each in due]
        )
        for each, answer in zip(due, answers, strict=True):
            self._vm_statuses.record_order_answer(each.vm, answer, sent_at)
        return len(due)

    def _is_first_attempt(self, addressed: orders.AddressedOrder) -> bool:
        # One attempt per step: an engine that does not answer would
        # otherwise delay every round.
        key = (addressed.vm, addressed.order.fence)
        first = key not in self._sent_orders
        self._sent_orders.add(key)
        return first
