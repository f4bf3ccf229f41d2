"""Keeps the replica groups of one data centre; the only part that acts."""

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

#: Rounds of decisions and orders in one step: a group whose engines answer
#: at once is formed, and its load begun, within the step that found a VM
#: missing, instead of a poll later each.
_ROUNDS = 4


class Leader:
    """Watches all VMs, and gives orders while it holds the lease.

    Every candidate watches, so that routing has fresh states also while
    the holder changes or the platform is down.

    :param has: what it works with.
    :ivar states: of each group, after the last step.
    """

    def __init__(self, has: dependencies.Dependencies) -> None:
        self.states: tuple[state.GroupState, ...] = ()
        self._has = has
        self._known = rowcache.RowCache(has.datacentre, has.invariants)
        self._watch = vmstatustable.VmStatusTable(has.timings)
        self._drains = draintracker.DrainTracker(has.timings)
        self._lease = leasemanager.LeaseManager(
            has.datacentre, has.holder, has.timings
        )
        self._listed_by_vm: dict[str, vmlist.VmRecord] = {}
        self._list_at: clock.Ms = -1
        self._tries = 0
        self._declared: declared.Declared | None = None
        self._ordered: set[tuple[str, int]] = set()

    def declare(self, wanted: declared.Declared) -> None:
        """Take in a version of the operators' table.

        :param wanted: the whole table.
        """
        self._declared = wanted

    def is_leading(self) -> bool:
        """Tell whether this process holds the lease."""
        return self._lease.is_held(self._has.clock.now())

    def step(self, now: clock.Ms) -> None:
        """Watch, then lead; about once a second.

        :param now: monotonic time in ms.
        """
        self.watch()
        self.lead(now)

    def watch(self) -> None:
        """Read back all VMs and renew the states for routing.

        Asks nothing of the platform, and may run while :meth:`lead` waits
        for it: a slow store must not make the states go stale.
        """
        self._poll()
        self._publish()

    def lead(self, now: clock.Ms) -> None:
        """Read the rows, keep the lease, and do what is due.

        :param now: monotonic time in ms.
        """
        readable = self._read()
        self._list(now)
        self._hold_lease()
        if readable and self._declared and self.is_leading():
            self._ordered.clear()
            self._rounds()
        self._publish()

    def stop(self) -> None:
        """Free the lease, so that the next holder need not wait it out."""
        attempt = self._attempt()
        wanted = self._lease.resigned(self._has.clock.now(), attempt)
        if wanted:
            self._has.table.commit(wanted)

    def _attempt(self) -> str:
        self._tries += 1
        return f"{self._has.holder}#{self._tries}"

    def _read(self) -> bool:
        for name, take in (
            (
                rowcache.groups_table(self._has.datacentre),
                self._known.apply_groups,
            ),
            (
                rowcache.owners_table(self._has.datacentre),
                self._known.apply_owners,
            ),
        ):
            after = self._known.revision_by_table.get(name, 0)
            scan = self._has.table.scan(name, after)
            if not isinstance(scan, rows.Scan):
                return False
            take(scan)
        return True

    def _list(self, now: clock.Ms) -> None:
        if now < self._list_at:
            return
        found = self._has.vms.vms(self._has.datacentre)
        if isinstance(found, missing.Missing):
            return
        self._list_at = now + self._has.timings.list_interval
        self._listed_by_vm = {each.vm: each for each in found}

    def _poll(self) -> None:
        address_by_vm = {
            each.vm: each.address
            for known in self._known.record_by_group.values()
            for each in known.members
        }
        for vm, listed in self._listed_by_vm.items():
            address_by_vm.setdefault(vm, listed.address)
        asked_at = self._has.clock.now()
        found = self._has.engines.holdings(address_by_vm.values())
        for vm, address in address_by_vm.items():
            self._watch.record_read_back(vm, found[address], asked_at)
        self._watch.retain(set(address_by_vm))

    def _publish(self) -> None:
        now = self._has.clock.now()
        self.states = tuple(
            routing.state_of(
                each,
                self._watch.status_by_vm,
                now,
                self._has.timings,
                self._has.invariants,
            )
            for _, each in sorted(self._known.record_by_group.items())
        )
        serving: dict[str, str] = {}
        for each in self.states:
            if each.state is not phase.Phase.SERVING:
                continue
            for vm in each.vms:
                other = serving.setdefault(vm, each.group)
                self._has.invariants.check(
                    "no VM serves in two groups", other == each.group, vm
                )

    def _hold_lease(self) -> None:
        if not self._lease.is_due(self._has.clock.now()):
            return
        row = self._has.table.read(rowcache.LEASES_TABLE, self._has.datacentre)
        if isinstance(row, missing.Unavailable):
            return
        found = row if isinstance(row, rows.Row) else None
        now = self._has.clock.now()
        wanted = self._lease.wish(found, now, self._attempt())
        if wanted is None:
            self._lease.refused()
            return
        answer = self._has.table.commit(wanted)
        if isinstance(answer, rows.Committed):
            term = wanted.writes[0].value["term"]
            self._lease.granted(answer.revision, term, now)
        elif isinstance(answer, rows.Conflict):
            self._lease.refused()

    def _situation(self) -> observedstate.ObservedState:
        has, now = self._has, self._has.clock.now()
        drained = self._drains.drained_groups(
            self._known, self._watch.status_by_vm, has.engines, now
        )
        return observedstate.ObservedState(
            declared=self._declared,
            cache=self._known,
            status_by_vm=self._watch.status_by_vm,
            uncertain_until_by_vm=self._watch.uncertain_until_by_vm,
            listed_by_vm=self._listed_by_vm,
            timings=has.timings,
            orders_settled_at=self._lease.taken_at
            + has.timings.max_order_delay,
            drained_groups=drained,
            now=now,
            wall=has.clock.wall(),
        )

    def _rounds(self) -> None:
        for _ in range(_ROUNDS):
            seen = self._situation()
            planned = self._has.planner.plan(fleetbuilder.build_fleet(seen))
            decision = reconciler.Reconciler(
                seen, planned, self._attempt, self._has.invariants
            )
            changed = [self._commit(each) for each in decision.changes()]
            ordered = self._order(seen)
            ordered += self._empty_strays(seen)
            if not any(changed) and not ordered:
                return
            if not self._read():
                return

    def _commit(self, wanted: change.Change) -> bool:
        attempt = wanted.after.attempt if wanted.after else self._attempt()
        done = self._has.table.commit(
            change.transaction(
                wanted,
                self._known,
                self._lease.condition,
                attempt,
                self._has.invariants,
            )
        )
        after = wanted.after
        shown = f"{after.phase}: {after.reason}" if after else "given up"
        self._has.log(f"group {wanted.group} {shown}; {done!r}")
        # Whether a lost answer was a success is read back with the rows,
        # which carry the attempt, before any order is given.
        return not isinstance(done, rows.Conflict | missing.Unavailable)

    def _order(self, seen: observedstate.ObservedState) -> int:
        if not self._read():
            return 0
        records = self._known.record_by_group.values()
        # Loads in progress, of an earlier holder too, have their slots
        # before any new one: the weight store bears them already.
        for each in records:
            if orders.is_loading(each, seen):
                self._may_load(each)
        due = []
        for each in records:
            wanted = orders.of_group(each, seen)
            if wanted and self._may_load(each):
                due += wanted
        return self._send(due)

    def _may_load(self, known: record.GroupRecord) -> bool:
        if known.phase is not phase.Phase.LOADING:
            return True
        lent = self._has.load_slots.acquire(
            f"{known.name}/{known.fence}", self._has.clock.now()
        )
        return not isinstance(lent, missing.Missing)

    def _empty_strays(self, seen: observedstate.ObservedState) -> int:
        due = []
        for vm, held in orders.strays(seen):
            owned = self._known.owner_by_vm.get(vm)
            address = self._listed_by_vm[vm].address
            wanted = orders.of_stray(owned, held, address)
            if wanted:
                due.append(wanted)
                continue
            self._has.table.commit(
                change.raise_fence(
                    vm,
                    held.fence,
                    self._known,
                    self._lease.condition,
                    self._attempt(),
                )
            )
        return self._send(due)

    def _send(self, due: list[orders.AddressedOrder]) -> int:
        # Read just before the orders go out: the writes above may have
        # taken longer than the lease, and then another process may have
        # taken these VMs.
        sent_at = self._has.clock.now()
        due = [each for each in due if self._is_first(each)]
        if not due or not self._lease.is_held(sent_at):
            return 0
        answers = self._has.engines.orders(
            [(each.address, each.given) for each in due]
        )
        for each, answer in zip(due, answers, strict=True):
            self._watch.record_order_answer(each.vm, answer, sent_at)
        return len(due)

    def _is_first(self, each: orders.AddressedOrder) -> bool:
        # One try a step: an engine that does not answer would otherwise
        # hold up every round of it.
        key = (each.vm, each.given.fence)
        first = key not in self._ordered
        self._ordered.add(key)
        return first
