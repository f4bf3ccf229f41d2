"""Decides which replicas to form, open and close."""

import collections
from collections.abc import Iterator

from citronvalve.model import clock
from citronvalve.replicas import builder
from citronvalve.replicas import demand
from citronvalve.replicas import exchanger
from citronvalve.replicas import layout as layouts
from citronvalve.replicas import liveness as liveness_
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import outbox
from citronvalve.replicas import phase as phases
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import reservations
from citronvalve.replicas import runner as runners
from citronvalve.replicas import sightings
from citronvalve.replicas import wants as wants_
from citronvalve.replicas import weights
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: Time for which a complete replica that is being closed may finish its
#: running requests.  A usual answer takes 1 to 2 s.
_DRAIN_TIME: clock.Ms = 4_000

#: At the first start, the list counts as growing until no runner has been
#: added for this long.  Runners register some tens of ms apart.
_GROWTH_PAUSE: clock.Ms = 500

#: Entries that lapsed during an outage of the list are back within this time.
_RELIST_TIME: clock.Ms = 2_500

_Kind = orders.OrderKind
_Phase = phases.Phase
_ReplicaByKey = dict[membership.GroupKey, replicas.Replica]


class Planner:
    """Plans the replicas of one service, without any I/O.

    A replica that lost a member is closed, and a new one is formed from free
    runners.  So a repair works in the same way as the first start.

    :param spec: engine settings of the service.
    :param stall_timeout: ms after which a stalled head breaks.
    :param epochs: rising epochs, one for each formation.
    :param local_rooms: whether replicas are wanted by data centre, if the
        models are of unlike size.
    :ivar liveness: which runners are alive.
    :ivar wants: the wanted replicas by data centre, None if they are not.
    """

    def __init__(
        self,
        spec: enginespec.EngineSpec,
        stall_timeout: clock.Ms,
        epochs: Iterator[int],
        local_rooms: bool = False,
    ) -> None:
        self.spec = spec
        is_local = local_rooms and layouts.has_unlike_sizes(
            spec.model_by_name.values()
        )
        self.wants = wants_.Wants(spec) if is_local else None
        self._count_by_place: collections.Counter[wants_.Place] = (
            collections.Counter()
        )
        self.liveness = liveness_.Liveness(pause_limit=stall_timeout)
        self._outbox = outbox.Outbox()
        self._reservations = reservations.Reservations(
            self.liveness,
            self._outbox,
            stall_timeout,
            spec.group_open_time,
        )
        self._weights = weights.Weights(spec, self.liveness, self._outbox)
        self._builder = builder.ReplicaBuilder(
            spec,
            epochs,
            self.liveness,
            self._reservations,
            self._weights,
            self._outbox,
        )
        self._dissolved_at_by_key: dict[membership.GroupKey, clock.Ms] = {}
        self._sightings = sightings.Sightings(self.liveness)
        self._exchanger = exchanger.Exchanger(
            spec, self._builder.demand, self._weights
        )
        self._late_orders_until: clock.Ms = 0
        self._unsettled: set[str] = set()
        self._usable: list[runners.Runner] = []
        self._departed: list[runners.Runner] = []
        self._listed_count = 0
        self._grown_at: clock.Ms = 0

    @property
    def demand(self) -> demand.Demand:
        """Return the demand for each model."""
        return self._builder.demand

    @property
    def before_traffic(self) -> bool:
        """Return whether no request has come; until then loads are fast."""
        return self._weights.before_traffic

    @before_traffic.setter
    def before_traffic(self, before_traffic: bool) -> None:
        self._weights.before_traffic = before_traffic

    def suspect_group(self, head_id: str) -> None:
        """Suspect all members of a stalled replica.

        :param head_id: the head's id.
        """
        held = self.liveness.find(head_id)
        self.liveness.suspect(head_id)
        if held is None or held.membership is None:
            return
        self._sightings.record_stall(held.membership.key)
        for runner in self.liveness.alive():
            other = runner.membership
            if other is not None and other.key == held.membership.key:
                self.liveness.suspect(runner.id)

    def record_activity(self, head_id: str) -> None:
        """Record that the head of a replica that was stalled sent data.

        :param head_id: the head's id.
        """
        held = self.liveness.find(head_id)
        if held is not None and held.membership is not None:
            self._sightings.record_activity(held.membership.key)

    def record_result(
        self, order: orders.Order, result: orders.OrderResult, now: clock.Ms
    ) -> None:
        """Record the result of an order.

        :param order: the order.
        :param result: the runner's response.
        :param now: monotonic ms.
        """
        self._reservations.record_result(order, result, now)

    def take_begun_exchanges(self) -> list[exchanger.Exchange]:
        """Return the exchanges begun since the last call."""
        return self._exchanger.take_begun()

    def left_runners(self) -> frozenset[str]:
        """Return the runners that left, or will, the group of a lost head.

        They must be known to the next leader before they are ordered to.
        """
        return self._reservations.left_runners()

    def inherit_left(self, left_at_by_id: dict[str, clock.Ms]) -> None:
        """Take over the runners that an earlier leader ordered to leave.

        :param left_at_by_id: monotonic ms at which each was first seen
            without a group.
        """
        self._reservations.inherit_left(left_at_by_id)

    def step(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> list[orders.Order | orders.Probe]:
        """Return the orders and probes to send now.

        :param runner_by_id: the listed runners of this service.
        :param now: monotonic ms.
        """
        if not self._late_orders_until:
            self._late_orders_until = now + reservations.MAX_ORDER_DELAY
        replica_by_key = self._observe(runner_by_id, now)
        count_by_model: collections.Counter[str] = collections.Counter()
        self._count_by_place.clear()
        reserved = self._review_all(replica_by_key, count_by_model, now)
        reserved |= self._reservations.reserved_runners(now)
        reserved |= self._advance_all(replica_by_key, count_by_model, now)
        free_by_domain: dict[str, list[runners.Runner]] = {}
        for runner in self._usable:
            settled = runner.datacentre not in self._unsettled
            if settled and runner.id not in reserved:
                free_by_domain.setdefault(runner.domain, []).append(runner)
        list_growing = (
            self.before_traffic and now - self._grown_at < _GROWTH_PAUSE
        )
        layout = self._layout(now)
        if not self.before_traffic:
            self._exchanger.step(
                self._closable(replica_by_key),
                free_by_domain,
                count_by_model,
                now,
                layout,
            )
        largest_by_domain = self._largest_by_domain(replica_by_key)
        for formed in self._builder.form(
            free_by_domain,
            count_by_model,
            largest_by_domain,
            self._exchanger.held_for_by_domain,
            list_growing,
            now,
            layout,
        ):
            self._exchanger.record_formed(formed.model, formed.domain, now)
        if not list_growing:
            spares = free_by_domain.values()
            repaired_by_domain = largest_by_domain if layout else None
            self._weights.stage_spares(
                spares, count_by_model, now, repaired_by_domain
            )
            self._weights.stage_members(replica_by_key.values(), now)
        for runner in self.liveness.due_probes(now):
            if self.liveness.find(runner) is not None:
                self._outbox.add_probe(runner)
        return self._outbox.drain(now)

    def _layout(self, now: clock.Ms) -> layouts.Layout | None:
        """Return what each data centre wants, if that is looked at."""
        if self.wants is None or self.before_traffic:
            return None
        if not self.wants.has_load:
            return None
        needed_by_place = self.wants.needed(self._count_by_place)
        layout = layouts.Layout(
            self.spec,
            self.wants,
            self._count_by_place,
            needed_by_place,
            self.wants.wanted(needed_by_place, now),
        )
        for exchange in self._exchanger.exchange_by_domain.values():
            layout.add(exchange.model, exchange.datacentre, exchange.gained)
        return layout

    def _observe(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> _ReplicaByKey:
        if len(runner_by_id) > self._listed_count:
            self._grown_at = now
        self._listed_count = len(runner_by_id)
        self.liveness.apply_list(runner_by_id, now)
        self.liveness.track_partitions(now)
        self._unsettled = self.liveness.unsettled_datacentres(now)
        self._departed = self.liveness.departed()
        alive = self.liveness.alive()
        self._usable = [
            runner
            for runner in alive
            if self.liveness.is_listed(runner.id)
            and not runner.leaving
            and not self.liveness.is_suspected(runner.id)
        ]
        self._reservations.update(alive)
        self._weights.update(alive)
        size_by_model = {
            m.name: m.size for m in self.spec.model_by_name.values()
        }
        replica_by_key = replicas.collect(alive, size_by_model)
        self._dissolved_at_by_key = {
            k: at
            for k, at in self._dissolved_at_by_key.items()
            if k in replica_by_key
        }
        self._sightings.update(replica_by_key, now)
        return replica_by_key

    def _closable(
        self, replica_by_key: _ReplicaByKey
    ) -> list[replicas.Replica]:
        """Return the complete open replicas that orders can reach.

        Not those with a runner in doubt, which may pause.
        """
        return [
            replica
            for key, replica in replica_by_key.items()
            if replica.phase is _Phase.OPEN
            and replica.is_complete()
            and replica.member_by_rank[0].datacentre not in self._unsettled
            and not any(
                self.liveness.is_suspected(member.id)
                for member in replica.member_by_rank.values()
            )
            and key not in self._dissolved_at_by_key
        ]

    def _largest_by_domain(
        self, replica_by_key: _ReplicaByKey
    ) -> dict[str, modelspec.ModelSpec]:
        """Return the largest model with a serving replica in each domain."""
        largest_by_domain: dict[str, modelspec.ModelSpec] = {}
        for key, replica in replica_by_key.items():
            if replica.phase not in phases.SERVING:
                continue
            model = self.spec.model_by_name[key.model]
            known = largest_by_domain.get(replica.head.domain)
            if known is None or model.size > known.size:
                largest_by_domain[replica.head.domain] = model
        return largest_by_domain

    def _review_all(
        self,
        replica_by_key: _ReplicaByKey,
        count_by_model: collections.Counter[str],
        now: clock.Ms,
    ) -> set[str]:
        reserved: set[str] = set()
        spare_count = collections.Counter(
            r.domain for r in self._usable if r.membership is None
        )
        for key, replica in replica_by_key.items():
            if self._review(replica, spare_count, now):
                reserved.update(r.id for r in replica.member_by_rank.values())
                if key not in self._dissolved_at_by_key:
                    count_by_model[key.model] += 1
                    datacentre = _datacentre(replica)
                    place = wants_.Place(key.model, datacentre)
                    self._count_by_place[place] += 1
        return reserved

    def _advance_all(
        self,
        replica_by_key: _ReplicaByKey,
        count_by_model: collections.Counter[str],
        now: clock.Ms,
    ) -> set[str]:
        reserved: set[str] = set()
        for key, pending in list(self._builder.pending_by_key.items()):
            if self._builder.advance(pending, replica_by_key.get(key), now):
                reserved.update(pending.members)
                if key not in replica_by_key:
                    count_by_model[key.model] += 1
                    head = self.liveness.find(pending.members[0])
                    datacentre = head.datacentre if head else ""
                    place = wants_.Place(key.model, datacentre)
                    self._count_by_place[place] += 1
            else:
                self._dissolved_at_by_key[key] = now
        # A replica abandoned in this step has no pending entry that reserves
        # its members, so the reservations are read again.
        return reserved | self._reservations.reserved_runners(now)

    def _review(
        self,
        replica: replicas.Replica,
        spare_count: collections.Counter[str],
        now: clock.Ms,
    ) -> bool:
        """Act on one replica; return whether its members stay reserved."""
        key = replica.key
        if key in self._builder.pending_by_key:
            return True
        head = replica.head
        if _datacentre(replica) in self._unsettled:
            return True
        if head is None:
            self._record_loss(key, now)
            self._dissolved_at_by_key.setdefault(key, now)
            if self._may_drain(replica, now):
                return True
            return self._reservations.dissolve_headless(replica, now)
        self._reservations.record_head_alive(replica, now)
        if replica.phase in phases.SERVING:
            why = self._reason_to_close(replica, spare_count, now)
            if why is None:
                self._dissolved_at_by_key.pop(key, None)
            else:
                if why is orders.Reason.MEMBER_GONE:
                    self._record_loss(key, now)
                self._close(replica, why, now)
            return True
        if self._may_adopt(replica, now):
            self._builder.adopt(replica, now)
            return True
        if replica.phase is _Phase.READY and self._has_late_orders(key, now):
            self._reservations.release(replica, now)
            return True
        return False

    def _may_adopt(self, replica: replicas.Replica, now: clock.Ms) -> bool:
        """Return whether a replica that is not open may be opened.

        An order that is still to be carried out may take a member of an open
        group into another one.
        """
        key = replica.key
        return (
            replica.is_ready()
            and key not in self._dissolved_at_by_key
            and not self._reservations.is_released(key)
            and not self._has_late_orders(key, now)
            and not self._reservations.may_lose_member(replica, now)
        )

    def _record_loss(self, key: membership.GroupKey, now: clock.Ms) -> None:
        if self.wants is not None and key not in self._dissolved_at_by_key:
            self.wants.record_loss(now)

    def _has_late_orders(
        self, key: membership.GroupKey, now: clock.Ms
    ) -> bool:
        """Return whether orders of an earlier leader may still be carried out.

        They may open a group, or take its members into another one.
        """
        return (
            self._builder.is_inherited(key) and now < self._late_orders_until
        )

    def _reason_to_close(
        self,
        replica: replicas.Replica,
        spare_count: collections.Counter[str],
        now: clock.Ms,
    ) -> orders.Reason | None:
        head = replica.head
        if head.leaving or not self.liveness.is_listed(head.id):
            return orders.Reason.HEAD_LEAVES
        if replica.key in self._exchanger.to_close:
            return orders.Reason.EXCHANGED
        if replica.phase is _Phase.CLOSING:
            return orders.Reason.CLOSING
        if not replica.is_complete():
            # The entry of a missing member may be about to come back.
            found_at = self._sightings.found_at(replica.key)
            known = replica.member_by_rank.keys()
            complete = len(known | self._sightings.unknown_ranks(replica))
            if complete == replica.size and now - found_at < _RELIST_TIME:
                return None
            return orders.Reason.MEMBER_GONE
        # A leaving member stays while its head runs requests, so closing the
        # replica only helps once a spare can take its place.
        leaving = any(r.leaving for r in replica.member_by_rank.values())
        if leaving and spare_count[head.domain]:
            return orders.Reason.MEMBER_LEAVES
        return None

    def _close(
        self, replica: replicas.Replica, why: orders.Reason, now: clock.Ms
    ) -> None:
        self._dissolved_at_by_key.setdefault(replica.key, now)
        drains = self._may_drain(replica, now)
        if drains and replica.phase is _Phase.CLOSING:
            return
        kind = _Kind.CLOSE if drains else _Kind.CUT
        order = orders.Order(kind, replica.head.id, replica.key, why=why)
        self._outbox.add(order, now)

    def _may_drain(self, replica: replicas.Replica, now: clock.Ms) -> bool:
        """Return whether a replica may finish its running requests.

        With a dead member none of them can end.
        """
        if now - self._dissolved_at_by_key[replica.key] >= _DRAIN_TIME:
            return False
        departed = {
            runner.membership.rank
            for runner in self._departed
            if runner.membership is not None
            and runner.membership.key == replica.key
        }
        present = replica.member_by_rank.keys() | departed
        return (
            len(present | self._sightings.unknown_ranks(replica))
            == replica.size
        )


def _datacentre(replica: replicas.Replica) -> str:
    return next(iter(replica.member_by_rank.values())).datacentre
