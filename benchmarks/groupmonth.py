"""A seeded month of one data centre, as its planner meets it."""

import heapq
import random
from typing import NamedTuple

from citronvalve.groups import fleet
from citronvalve.groups import groupspec
from citronvalve.groups import groupstatus
from citronvalve.groups import planner

DAY = 86_400.0
MONTH = 30 * DAY

#: Silence, the slowest way to find out; refused connections take 1 s.
DETECTION = 2.5


class Case(NamedTuple):
    """A data centre and what happens to it.

    Rates are a VM and day, from the target: 230 failures and 1,000 restarts
    a day over 13,600 VMs.  A rack goes dark far more often than there, once
    a month, so that each run meets one.  Times in s.
    """

    name: str
    vms_by_domain: dict[str, int]
    size: int
    replicas: int
    load: float = 90.0
    failures: float = 0.017
    restarts: float = 0.074
    repair: float = 3_600.0
    restart: float = 180.0
    racks: float = 1.0
    rack_repair: float = 7_200.0
    #: How long a lost VM is waited for before a spare takes its place.
    patience: float = 0.0


class Outcome(NamedTuple):
    """Means over the month: groups missing, VMs stranded, and bounds."""

    closed: float
    closed_bound: float
    stranded: float
    stranded_bound: float


class _Group:
    def __init__(self, name: str, domain: str, vms: list[str]) -> None:
        self.name = name
        self.domain = domain
        self.vms = vms
        self.ready_at = 0.0


class Month:
    """Plays the month with one planner.

    :param case: the data centre.
    :param chosen: the planner.
    :param seed: of the failures; they are the same for each planner.
    """

    def __init__(self, case: Case, chosen: planner.Planner, seed: int) -> None:
        self._case = case
        self._planner = chosen
        self._domain_by_vm = {
            f"{domain}-{n}": domain
            for domain, count in case.vms_by_domain.items()
            for n in range(count)
        }
        self._down: dict[str, int] = dict.fromkeys(self._domain_by_vm, 0)
        self._down_since = dict.fromkeys(self._domain_by_vm, 0.0)
        self._up_since = dict.fromkeys(self._domain_by_vm, -DAY)
        self._seen_down: set[str] = set()
        self._groups: dict[str, _Group] = {}
        self._made = 0
        self._events: list[tuple[float, int, str, tuple[str, ...]]] = []
        self._draw(random.Random(seed))

    def _draw(self, chance: random.Random) -> None:
        case = self._case
        for vm in self._domain_by_vm:
            self._losses(chance, (vm,), case.failures, case.repair)
            self._losses(chance, (vm,), case.restarts, case.restart)
        domains = sorted(case.vms_by_domain)
        at = chance.uniform(0, MONTH / case.racks)
        domain = chance.choice(domains)
        rack = [v for v, d in self._domain_by_vm.items() if d == domain]
        self._lose(at, tuple(rack), case.rack_repair)
        self._push(0.0, "look", ())

    def _losses(
        self,
        chance: random.Random,
        vms: tuple[str, ...],
        rate: float,
        repair: float,
    ) -> None:
        at = chance.expovariate(rate / DAY)
        while at < MONTH:
            self._lose(at, vms, chance.expovariate(1 / repair))
            at += chance.expovariate(rate / DAY)

    def _lose(self, at: float, vms: tuple[str, ...], span: float) -> None:
        self._push(at, "down", vms)
        found = DETECTION + self._case.patience
        self._push(at + found, "look", ())
        self._push(at + span, "up", vms)
        self._push(at + span + DETECTION, "look", ())
        # Both bounds change when the VM could have loaded.
        self._push(at + span + DETECTION + self._case.load, "look", ())

    def _push(self, at: float, kind: str, vms: tuple[str, ...]) -> None:
        heapq.heappush(self._events, (at, len(self._events), kind, vms))

    def play(self) -> Outcome:
        """Play it from the first plan on."""
        totals = [0.0] * 4
        now = 0.0
        start = self._case.load + 1
        while self._events:
            at, _, kind, vms = heapq.heappop(self._events)
            at = min(at, MONTH)
            # The first load is the same for all.
            span = max(0.0, at - max(now, start))
            for place, value in enumerate(self._now(now)):
                totals[place] += span * value
            now = at
            if now >= MONTH:
                break
            self._apply(kind, vms, now)
        return Outcome(*(total / (MONTH - start) for total in totals))

    def _apply(self, kind: str, vms: tuple[str, ...], now: float) -> None:
        for vm in vms:
            if kind == "down" and not self._down[vm]:
                self._down_since[vm] = now
            self._down[vm] += 1 if kind == "down" else -1
            if kind == "up" and not self._down[vm]:
                self._up_since[vm] = now
        if kind == "look":
            self._look(now)

    def _now(self, now: float) -> tuple[float, float, float, float]:
        case = self._case
        serving = sum(
            each.ready_at <= now and not any(self._down[vm] for vm in each.vms)
            for each in self._groups.values()
        )
        up = sum(not count for count in self._down.values())
        # Whoever plans, a VM serves only after it was found and has loaded.
        wait = DETECTION + case.load
        ready: dict[str, int] = dict.fromkeys(case.vms_by_domain, 0)
        for vm, domain in self._domain_by_vm.items():
            if not self._down[vm] and self._up_since[vm] + wait <= now:
                ready[domain] += 1
        fitting = sum(count // case.size for count in ready.values())
        best = min(case.replicas, fitting)
        return (
            case.replicas - serving,
            case.replicas - best,
            up - serving * case.size,
            up - best * case.size,
        )

    def _look(self, now: float) -> None:
        # A little early counts: the look comes when the wait is over.
        until = now - DETECTION - self._case.patience + 0.001
        down = {
            vm
            for vm, count in self._down.items()
            if count and self._down_since[vm] <= until
        }
        back = self._seen_down - down
        # A VM that was away comes back empty, also within one look.
        for each in self._groups.values():
            since = max(self._up_since[vm] for vm in each.vms)
            if back & set(each.vms) or since > each.ready_at:
                each.ready_at = now + self._case.load
        self._seen_down = down
        for _ in range(len(self._groups) + 2):
            if not self._carry_out(now, down):
                break
        for each in self._groups.values():
            if each.ready_at > now:
                self._push(each.ready_at, "ready", ())

    def _carry_out(self, now: float, down: set[str]) -> bool:
        planned = self._planner.plan(self._fleet(down))
        for name in planned.reason_by_dissolved:
            del self._groups[name]
        for mend in planned.repairs:
            group = self._groups[mend.group]
            group.vms = [mend.spare_by_vm.get(vm, vm) for vm in group.vms]
            group.ready_at = now + self._case.load
        for each in planned.placements:
            self._made += 1
            made = _Group(f"g{self._made}", each.domain, list(each.vms))
            made.ready_at = now + self._case.load
            self._groups[made.name] = made
        return bool(
            planned.reason_by_dissolved
            or planned.repairs
            or planned.placements
        )

    def _fleet(self, down: set[str]) -> fleet.Fleet:
        used = {vm for each in self._groups.values() for vm in each.vms}
        free: dict[str, list[str]] = {}
        for vm, domain in self._domain_by_vm.items():
            if vm not in used and vm not in down:
                free.setdefault(domain, []).append(vm)
        groups = tuple(
            groupstatus.GroupStatus(
                each.name,
                "draft",
                each.domain,
                tuple(vm for vm in each.vms if vm not in down),
                tuple(vm for vm in each.vms if vm in down),
            )
            for each in self._groups.values()
        )
        wanted = groupspec.GroupSpec(
            "draft", self._case.size, self._case.replicas
        )
        return fleet.Fleet(
            (wanted,), groups, {d: tuple(v) for d, v in free.items()}
        )
