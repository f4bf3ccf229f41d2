"""Task that plans the replica groups while this daemon leads."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import eventlet

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import lease as leases
from citronvalve.replicas import leaverecord
from citronvalve.replicas import order as orders_
from citronvalve.replicas import planner as planners
from citronvalve.replicas import runner as runners
from citronvalve.replicas import runnerclient as givers
from citronvalve.replicas import wants
from citronvalve.routes import service as services

#: Pause between two plans.
_PLAN_INTERVAL: clock.Ms = 100

#: Time between two attempts to store who is ordered to leave.
_RECORD_RETRY_INTERVAL: clock.Ms = 500

#: Bounds concurrent orders; at the start each runner gets one.
_MAX_CONCURRENT_ORDERS = 64


class PlannerTask:
    """Plans, sends orders and records their results.

    :param env: the daemon's environment.
    :param directory: the list of runners and the catalogue.
    :param loads: the loads of the replicas.
    :param client: sends orders to runners and probes them.
    :param stall: ms without progress after which a head counts as broken.
    :param lease_version: returns the version of the held lease, or 0.
    :param leave_record: stored record of the runners that were ordered to
        leave their groups.
    :param is_before_traffic: returns whether no request has arrived yet.
    :param local_rooms: whether replicas are wanted by data centre.
    :ivar read_list: reads the list of runners up to a revision of the store,
        if it is not yet known so far; returns whether it is.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        loads: upstreamchoice.LoadTable,
        client: givers.RunnerClient,
        stall: clock.Ms,
        lease_version: Callable[[], int],
        leave_record: leaverecord.LeaveRecord,
        is_before_traffic: Callable[[], bool],
        local_rooms: bool = False,
    ) -> None:
        self._env = env
        self._directory = directory
        self._loads = loads
        self._client = client
        self._stall = stall
        self._lease_version = lease_version
        self._leave_record = leave_record
        self._recorded_by_service: dict[str, frozenset[str]] = {}
        self._being_recorded: set[str] = set()
        self._record_due_at_by_service: dict[str, clock.Ms] = {}
        self._is_before_traffic = is_before_traffic
        self._local_rooms = local_rooms
        self.read_list: Callable[[int], bool] = lambda _: False
        self._planned_lease = 0
        self._stalled_at_by_head: dict[str, clock.Ms] = {}
        self._inherited_stalls: list[str] = []
        self._awaited_lease = 0
        self._awaited_since: clock.Ms = 0
        self._epochs = leases.epochs(0)
        self._planner_by_service: dict[str, planners.Planner] = {}
        self._pool = eventlet.GreenPool(_MAX_CONCURRENT_ORDERS)

    def suspect_group(self, head: str) -> None:
        """Suspect the group of a head that is stalled.

        A report that comes while nobody leads is not repeated, so it is kept
        for the case that this daemon takes the lead.

        :param head: the head's id.
        """
        now = self._env.clock.now()
        self._stalled_at_by_head = {
            other: at
            for other, at in self._stalled_at_by_head.items()
            if now - at < self._stall
        }
        self._stalled_at_by_head[head] = now
        self._suspect(head)

    def _suspect(self, head: str) -> None:
        runner = self._directory.runner_by_id.get(head)
        planner = runner and self._planner_by_service.get(runner.service)
        if planner:
            planner.suspect_group(head)

    def run(self) -> None:
        """Plan forever."""
        while True:
            lease = self._lease_version()
            if lease and self._directory.ready and self._may_plan(lease):
                self._step()
            eventlet.sleep(_PLAN_INTERVAL / clock.SECOND)

    def _may_plan(self, lease: int) -> bool:
        """Return whether all is known that was stored before a lease.

        An older list lacks the last groups of the previous leader.  The
        lease's version is the store's revision at which it was acquired.
        """
        if lease == self._planned_lease:
            return True
        now = self._env.clock.now()
        if lease != self._awaited_lease:
            self._awaited_lease, self._awaited_since = lease, now
        if not self.read_list(lease):
            return False
        recorded = self._leave_record.read()
        if isinstance(recorded, missing.Missing):
            return False
        self._recorded_by_service = recorded
        self._start_lease(lease)
        self._env.log.change(
            "planning begun", lease=lease, waited_ms=now - self._awaited_since
        )
        return True

    def _start_lease(self, lease: int) -> None:
        # Epochs of an earlier lease may be lower than those of a daemon that
        # led in between.
        self._planner_by_service.clear()
        self._planned_lease = lease
        self._epochs = leases.epochs(lease)
        now = self._env.clock.now()
        self._inherited_stalls = [
            head
            for head, at in self._stalled_at_by_head.items()
            if now - at < self._stall and not self._has_sent_since(head, at)
        ]

    def _has_sent_since(self, head: str, at: clock.Ms) -> bool:
        return self._loads.of(head).last_heard_at > at

    def _drop_ended_stalls(self, planner: planners.Planner) -> None:
        """Drop the reports of heads that this daemon has heard since."""
        for head, at in self._stalled_at_by_head.items():
            if self._has_sent_since(head, at):
                planner.record_activity(head)

    def _step(self) -> None:
        now = self._env.clock.now()
        for name, service in self._directory.catalogue.service_by_name.items():
            if service.engine is None:
                continue
            planner = self._planner_by_service.get(name)
            if planner is None or planner.spec != service.engine:
                planner = planners.Planner(
                    service.engine,
                    self._stall,
                    self._epochs,
                    self._local_rooms,
                )
                planner.inherit_left(self._left_at_by_id(name))
                self._planner_by_service[name] = planner
            self._drop_ended_stalls(planner)
            planner.before_traffic = self._is_before_traffic()
            load_by_place = self._load_by_place(name, service, now)
            planner.demand.observe(
                {
                    model: sum(
                        load
                        for place, load in load_by_place.items()
                        if place.model == model
                    )
                    for model in service.engine.model_by_name
                },
                now,
            )
            if planner.wants is not None:
                planner.wants.observe(load_by_place, now)
            self._carry_out(name, planner, self._runners(name), now)
        # A planner knows the groups only after its first step.
        for head in self._inherited_stalls:
            self._suspect(head)
        self._inherited_stalls = []

    def _left_at_by_id(self, service: str) -> dict[str, clock.Ms]:
        recorded = self._recorded_by_service.get(service, frozenset())
        left_at_by_id = self._directory.left_at_by_id
        return {
            runner: left_at_by_id[runner]
            for runner in recorded
            if runner in left_at_by_id
        }

    def _load_by_place(
        self, name: str, service: services.Service, now: clock.Ms
    ) -> dict[wants.Place, float]:
        """Return the requests at replicas by model and data centre."""
        load_by_place: dict[wants.Place, float] = collections.defaultdict(
            float
        )
        for model in service.engine.model_by_name:
            for head in self._directory.open_heads(name, model):
                runner = self._directory.runner_by_id[head.upstream]
                place = wants.Place(model, runner.datacentre)
                load_by_place[place] += self._loads.of(head.upstream).total(
                    now
                )
        return load_by_place

    def _runners(self, service: str) -> dict[str, runners.Runner]:
        return {
            runner.id: runner
            for runner in self._directory.runner_by_id.values()
            if runner.service == service
        }

    def _carry_out(
        self,
        name: str,
        planner: planners.Planner,
        listed: dict[str, runners.Runner],
        now: clock.Ms,
    ) -> None:
        given = planner.step(listed, now)
        for exchange in planner.take_begun_exchanges():
            self._env.log.change(
                "exchange begun",
                domain=exchange.domain,
                model=exchange.model,
                groups=[key.name for key in exchange.keys],
                pressure_by_model=exchange.pressure_by_model,
            )
        left = planner.left_runners()
        if left == self._recorded_by_service.get(name, frozenset()):
            self._spawn_all(planner, given)
            return
        leaves = [one for one in given if _is_leave(one)]
        self._spawn_all(planner, [one for one in given if not _is_leave(one)])
        # Orders that are not sent now are given again by a later plan.
        is_due = now >= self._record_due_at_by_service.get(name, 0)
        if is_due and name not in self._being_recorded:
            self._being_recorded.add(name)
            self._pool.spawn_n(
                self._record_and_leave, name, planner, left, leaves
            )

    def _record_and_leave(
        self,
        name: str,
        planner: planners.Planner,
        left: frozenset[str],
        leaves: list[orders_.Order],
    ) -> None:
        lease = self._planned_lease
        self._record_due_at_by_service[name] = (
            self._env.clock.now() + _RECORD_RETRY_INTERVAL
        )
        try:
            stored = self._leave_record.write(name, left)
        finally:
            self._being_recorded.discard(name)
        if stored and lease == self._planned_lease:
            del self._record_due_at_by_service[name]
            self._recorded_by_service[name] = left
            self._spawn_all(planner, leaves)

    def _spawn_all(
        self,
        planner: planners.Planner,
        given: Iterable[orders_.Order | orders_.Probe],
    ) -> None:
        for order in given:
            target = planner.liveness.find(order.runner)
            if target is None:
                continue
            if isinstance(order, orders_.Probe):
                self._pool.spawn_n(self._probe, planner, target)
            else:
                self._pool.spawn_n(
                    self._send_order,
                    self._planned_lease,
                    planner,
                    target,
                    order,
                )

    def _send_order(
        self,
        lease: int,
        planner: planners.Planner,
        target: runners.Runner,
        order: orders_.Order,
    ) -> None:
        if self._lease_version() != lease:
            # It was lost while the order waited for a free slot of the pool,
            # and another leader may have closed the group since.
            self._env.log.change(
                "order dropped", order=order.kind, runner=order.runner
            )
            return
        result = self._client.send(target, order)
        planner.record_result(order, result, self._env.clock.now())
        self._env.metrics.record_order(order.kind, result.name.lower())
        self._env.log.change(
            "order given",
            order=order.kind,
            runner=order.runner,
            group=order.key.name if order.key else "",
            epoch=order.key.epoch if order.key else 0,
            members=len(order.members),
            why=order.why,
            told=result.name,
        )

    def _probe(
        self, planner: planners.Planner, target: runners.Runner
    ) -> None:
        response = self._client.probe(target)
        if isinstance(response, runners.Runner):
            planner.liveness.record_answer(target.id, self._env.clock.now())
            return
        planner.liveness.record_no_answer(
            target.id, response, self._env.clock.now()
        )
        self._env.log.change(
            "runner silent",
            runner=target.id,
            how=response,
            silent_ms=planner.liveness.silent_for(
                target.id, self._env.clock.now()
            ),
            lost=planner.liveness.is_lost(target.id),
            departed=planner.liveness.is_departed(target.id),
        )


def _is_leave(given: orders_.Order | orders_.Probe) -> bool:
    return (
        isinstance(given, orders_.Order)
        and given.kind is orders_.OrderKind.LEAVE
    )
