"""Forms replicas from free runners and opens them once all are ready."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.replicas import demand as demands
from citronvalve.replicas import layout as layouts
from citronvalve.replicas import liveness as liveness_
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import outbox as outboxes
from citronvalve.replicas import pending as pendings
from citronvalve.replicas import phase
from citronvalve.replicas import placechoice
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import reservations as reservations_
from citronvalve.replicas import runner as runners
from citronvalve.replicas import weights as weights_
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: Added to the expected time of a join to get its deadline.
_JOIN_MARGIN: clock.Ms = 2_500

#: Free runners kept in a domain to repair its largest replica.  With more, a
#: small replica of a domain of 11 that lost a member would not form again.
_SPARES_FOR_REPAIR = 1

#: A model whose demand is below this ratio of another one's is oversupplied.
_OVERSUPPLY_RATIO = 0.5

_Kind = orders.OrderKind
_FreeByDomain = dict[str, list[runners.Runner]]
_Counts = collections.Counter[str]


class Formed(NamedTuple):
    """A new replica; if not started, it waits for its weights."""

    model: str
    domain: str
    started: bool


class ReplicaBuilder:
    """Forms the replicas of one service.

    :param spec: engine settings of the service.
    :param epochs: rising epochs, one for each formation.
    :param liveness: which runners are alive.
    :param reservations: runners that may still belong to an open group.
    :param weights: where the models' weights are staged.
    :param outbox: takes the orders.
    :ivar pending_by_key: replicas that were ordered and are not yet open.
    :ivar demand: demand for each model.
    """

    def __init__(
        self,
        spec: enginespec.EngineSpec,
        epochs: Iterator[int],
        liveness: liveness_.Liveness,
        reservations: reservations_.Reservations,
        weights: weights_.Weights,
        outbox: outboxes.Outbox,
    ) -> None:
        self._spec = spec
        self._epochs = epochs
        self._first_epoch: int | None = None
        self._liveness = liveness
        self._reservations = reservations
        self._weights = weights
        self._outbox = outbox
        self.pending_by_key: dict[
            membership.GroupKey, pendings.PendingReplica
        ] = {}
        self.demand = demands.Demand(spec)
        self._largest_by_domain: Mapping[str, modelspec.ModelSpec] = {}
        self._held_for_by_domain: Mapping[str, str] = {}
        self._layout: layouts.Layout | None = None

    def is_inherited(self, key: membership.GroupKey) -> bool:
        """Return whether an earlier leader formed a group.

        :param key: the group.
        """
        return self._first_epoch is None or key.epoch < self._first_epoch

    def adopt(self, replica: replicas.Replica, now: clock.Ms) -> None:
        """Take over a replica that an earlier leader formed and did not open.

        :param replica: a replica whose members are all ready.
        :param now: monotonic ms.
        """
        members = tuple(
            replica.member_by_rank[rank].id for rank in range(replica.size)
        )
        pending = pendings.PendingReplica(
            replica.key, members, now + _JOIN_MARGIN
        )
        # The earlier leader may have ordered it, too.
        pending.open_ordered = True
        self.pending_by_key[replica.key] = pending

    def advance(
        self,
        pending: pendings.PendingReplica,
        replica: replicas.Replica | None,
        now: clock.Ms,
    ) -> bool:
        """Give the next orders for a replica; return False if abandoned.

        :param pending: the replica.
        :param replica: its state as reported by its members, if any.
        :param now: monotonic ms.
        """
        if replica is not None and replica.phase is phase.Phase.OPEN:
            del self.pending_by_key[pending.key]
            return True
        lost = any(
            self._liveness.is_lost(m) or not self._liveness.is_listed(m)
            for m in pending.members
        )
        if lost or now >= pending.deadline:
            del self.pending_by_key[pending.key]
            if not lost and self._reservations.has_opened(pending.key):
                # It serves; the list does not show it yet.
                return True
            if pending.open_ordered:
                self._reservations.record_abandoned(pending, now)
            return False
        if replica is not None and replica.is_ready():
            # Each member has reported that it is ready for this name and
            # epoch.  The head does not check its members.
            pending.open_ordered = True
            head = pending.members[0]
            self._outbox.add(orders.Order(_Kind.OPEN, head, pending.key), now)
        else:
            self._order_joins(pending, now)
        return True

    def form(
        self,
        free_by_domain: _FreeByDomain,
        count_by_model: _Counts,
        largest_by_domain: Mapping[str, modelspec.ModelSpec],
        held_for_by_domain: Mapping[str, str],
        list_growing: bool,
        now: clock.Ms,
        layout: layouts.Layout | None = None,
    ) -> list[Formed]:
        """Form as many replicas as possible from the free runners.

        Replicas that need no load and so serve within two seconds go first,
        even if another model is in higher demand.

        :param free_by_domain: free runners; members are removed from it.
        :param count_by_model: replicas that exist or are being formed.
        :param largest_by_domain: the largest model with a replica in each
            domain; spares stay there to repair it.
        :param held_for_by_domain: the model for which a domain's free runners
            are held until others join them.
        :param list_growing: whether more runners are expected shortly.
        :param now: monotonic ms.
        :param layout: what each data centre wants, None if only the whole
            service is looked at.
        :returns: the replicas that are being formed now.
        """
        formed = []
        self._largest_by_domain = largest_by_domain
        self._held_for_by_domain = held_for_by_domain
        self._layout = layout
        for staged_only in (True, False):
            while one := self._form_one(
                free_by_domain, count_by_model, list_growing, staged_only, now
            ):
                if one.started:
                    formed.append(one)
        return formed

    def _form_one(
        self,
        free_by_domain: _FreeByDomain,
        count_by_model: _Counts,
        list_growing: bool,
        staged_only: bool,
        now: clock.Ms,
    ) -> Formed | None:
        for model, usable in self._choices(free_by_domain, count_by_model):
            domain = self._best_domain(
                usable, model, count_by_model, staged_only
            )
            if domain is None and list_growing:
                # Replicas of a smaller model would take the runners of the
                # larger one, which will fit once the list is complete.
                return None
            if domain is None:
                continue
            free = free_by_domain[domain]
            members = self._choose_members(free, model)
            # Counted as formed even while its weights are being staged, so
            # that the next model does not take its members.
            started = staged_only or self._weights.ensure_staged(
                members, model, now
            )
            if started:
                self._start(members, model, now)
            count_by_model[model.name] += 1
            self._record_in_layout(model, members[0])
            for runner in members:
                free.remove(runner)
            return Formed(model.name, domain, started)
        return None

    def _record_in_layout(
        self, model: modelspec.ModelSpec, head: runners.Runner
    ) -> None:
        # What an exchange gains is counted already.
        held_for = self._held_for_by_domain.get(head.domain)
        if self._layout is not None and held_for != model.name:
            self._layout.add(model.name, head.datacentre)

    def _choices(
        self, free_by_domain: _FreeByDomain, count_by_model: _Counts
    ) -> Iterator[tuple[modelspec.ModelSpec, _FreeByDomain]]:
        """Yield models, the most urgent first, and domains to look at."""
        if self._layout is not None:
            yield from placechoice.lacking(
                self._spec,
                self._layout,
                free_by_domain,
                self._held_for_by_domain,
            )
            yield from placechoice.surplus(self._layout, free_by_domain)
            return
        oversupplied = self._oversupplied(count_by_model)
        for model in self._by_demand(count_by_model):
            if model.name in oversupplied:
                # Another replica of it would stay idle, and take runners
                # that the other model can use once one more is free.
                continue
            yield model, free_by_domain

    def _by_demand(self, count_by_model: _Counts) -> list[modelspec.ModelSpec]:
        """Return the models by their demand once there is one more replica."""
        models = self._spec.model_by_name
        pressure_by_model = self.demand.pressures(
            _with_one_more(models, count_by_model)
        )
        return sorted(
            models.values(), key=lambda m: (-pressure_by_model[m.name], m.name)
        )

    def _oversupplied(self, count_by_model: _Counts) -> set[str]:
        """Return the models of which another replica would stay idle."""
        if self._weights.before_traffic:
            return set()
        largest_size = self._liveness.largest_domain_size()
        for model in self._by_demand(count_by_model):
            if model.size <= largest_size:
                return self._oversupplied_beside(model, count_by_model)
        return set()

    def _oversupplied_beside(
        self, model: modelspec.ModelSpec, count_by_model: _Counts
    ) -> set[str]:
        models = self._spec.model_by_name
        pressure_by_model = self.demand.pressures(
            _with_one_more(models, count_by_model)
        )
        limit = _OVERSUPPLY_RATIO * pressure_by_model[model.name]
        return {
            name
            for name, pressure in pressure_by_model.items()
            if pressure < limit
        }

    def _best_domain(
        self,
        free_by_domain: _FreeByDomain,
        model: modelspec.ModelSpec,
        count_by_model: _Counts,
        staged_only: bool,
    ) -> str | None:
        # Best fit: among equal join times prefers the domain with the fewest
        # free runners, so that a larger one can still hold a larger replica.
        candidates = []
        oversupplied = self._oversupplied_beside(model, count_by_model)
        for domain, free in free_by_domain.items():
            if self._held_for_by_domain.get(domain, model.name) != model.name:
                continue
            spares = self._spares_to_keep(domain, model, oversupplied)
            if len(free) < model.size + spares:
                continue
            join_times = [
                self._weights.join_time(r, model)
                for r in self._choose_members(free, model)
            ]
            needs_load = (
                max(join_times) >= model.load_time
                and not self._weights.before_traffic
            )
            if not (staged_only and needs_load):
                candidates.append((sum(join_times), len(free), domain))
        return min(candidates)[2] if candidates else None

    def _spares_to_keep(
        self, domain: str, model: modelspec.ModelSpec, oversupplied: set[str]
    ) -> int:
        """Return the free runners that a new replica must leave in a domain.

        A larger replica there that loses a member can serve again only with
        a spare of its domain.  The spares serve more callers so than as a
        small replica.

        :param domain: the domain.
        :param model: the model of the new replica.
        :param oversupplied: models that need no repair, compared with it.
        """
        largest = self._largest_by_domain.get(domain)
        if (
            largest is None
            or largest.size <= model.size
            or self._weights.before_traffic
        ):
            return 0
        if largest.name in oversupplied and self._layout is None:
            return 0
        return _SPARES_FOR_REPAIR

    def _choose_members(
        self, free: list[runners.Runner], model: modelspec.ModelSpec
    ) -> list[runners.Runner]:
        ranked = sorted(
            free, key=lambda r: (self._weights.join_time(r, model), r.id)
        )
        # Warm runners first: a cold head takes only part of the requests.
        return sorted(ranked[: model.size], key=lambda r: (r.cold_until, r.id))

    def _start(
        self,
        members: list[runners.Runner],
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> None:
        epoch = next(self._epochs)
        if self._first_epoch is None:
            self._first_epoch = epoch
        key = membership.GroupKey(f"{model.name}~{epoch}", epoch)
        join_time = max(self._weights.join_time(r, model) for r in members)
        pending = pendings.PendingReplica(
            key,
            tuple(runner.id for runner in members),
            now + join_time + _JOIN_MARGIN,
        )
        self.pending_by_key[key] = pending
        self._order_joins(pending, now)

    def _order_joins(
        self, pending: pendings.PendingReplica, now: clock.Ms
    ) -> None:
        for member in pending.members:
            runner = self._liveness.find(member)
            held = runner.membership if runner else None
            if held is not None and held.key == pending.key:
                continue
            self._reservations.record_join(member, pending.key, now)
            self._outbox.add(
                orders.Order(
                    _Kind.JOIN,
                    member,
                    pending.key,
                    pending.key.model,
                    pending.members,
                ),
                now,
            )


def _with_one_more(
    models: Mapping[str, modelspec.ModelSpec], count_by_model: _Counts
) -> dict[str, int]:
    return {name: count_by_model[name] + 1 for name in models}
