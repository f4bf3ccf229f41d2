"""Forms replicas from free runners, and opens them once all are ready."""

import collections
from collections.abc import Iterator

from citronvalve.model import clock
from citronvalve.replicas import demand as demands
from citronvalve.replicas import liveness as liveness_
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import outbox as outboxes
from citronvalve.replicas import pending as pendings
from citronvalve.replicas import phase
from citronvalve.replicas import replica as replicas
from citronvalve.replicas import reservations as reservations_
from citronvalve.replicas import runner as runners
from citronvalve.replicas import weights as weights_
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: Added to the expected time of a join before it is given up.
_JOIN_MARGIN: clock.Ms = 2_500

_Kind = orders.OrderKind
_FreeByDomain = dict[str, list[runners.Runner]]
_Counts = collections.Counter[str]


class ReplicaBuilder:
    """Knows the replicas that are on their way.

    :param spec: the service's engines.
    :param epochs: gives each formation its own, rising.
    :param lives: who is there.
    :param heads: who is bound to a head that may serve.
    :param weights: what lies where.
    :param book: takes orders.
    :ivar pending_by_key: ordered, and not yet seen open.
    :ivar need: which model needs a replica most.
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
        self._liveness = liveness
        self._reservations = reservations
        self._weights = weights
        self._outbox = outbox
        self.pending_by_key: dict[
            membership.GroupKey, pendings.PendingReplica
        ] = {}
        self.demand = demands.Demand()

    def adopt(self, replica: replicas.Replica, now: clock.Ms) -> None:
        """Open what a leader formed that did not come to open it.

        :param standing: a replica whose members are all ready.
        :param now: monotonic ms.
        """
        members = tuple(
            replica.member_by_rank[rank].id for rank in range(replica.size)
        )
        self.pending_by_key[replica.key] = pendings.PendingReplica(
            replica.key, members, now + _JOIN_MARGIN
        )

    def advance(
        self,
        pending: pendings.PendingReplica,
        replica: replicas.Replica | None,
        now: clock.Ms,
    ) -> bool:
        """Bring a replica a step on; return False when it was given up.

        :param pending: the replica.
        :param standing: what its members say, if any does.
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
                # It serves; only the list does not show it yet.
                return True
            if pending.open_ordered:
                self._reservations.record_abandoned(pending, now)
            return False
        if replica is not None and replica.is_ready():
            # Each member has itself said that it is ready under this name
            # and epoch; the head checks none of them.
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
        list_growing: bool,
        now: clock.Ms,
    ) -> None:
        """Form what can be formed, and take its members out.

        What can serve in two seconds goes before what is in more need and
        has to load weights.

        :param by_domain: free runners.
        :param count_by_model: replicas that stand or are being formed.
        :param filling: whether more runners are about to come.
        :param now: monotonic ms.
        """
        for staged_only in (True, False):
            while self._form_one(
                free_by_domain, count_by_model, list_growing, staged_only, now
            ):
                pass

    def _form_one(
        self,
        free_by_domain: _FreeByDomain,
        count_by_model: _Counts,
        list_growing: bool,
        staged_only: bool,
        now: clock.Ms,
    ) -> bool:
        oversupplied = self._oversupplied(count_by_model)
        for model in self._by_demand(count_by_model):
            if model.name in oversupplied:
                # Its next replica would stand idle, and take the runners
                # that the other model needs as soon as one more is there.
                continue
            domain = self._best_domain(free_by_domain, model, staged_only)
            if domain is None and list_growing:
                # Replicas of the smaller model would take the places of the
                # larger one, which only does not fit yet.
                return False
            if domain is None:
                continue
            free = free_by_domain[domain]
            members = self._choose_members(free, model)
            # Where weights are missing it is counted as formed all the
            # same, or the next in need would take its members.
            if staged_only or self._weights.ensure_staged(members, model, now):
                self._start(members, model, now)
            count_by_model[model.name] += 1
            for runner in members:
                free.remove(runner)
            return True
        return False

    def _by_demand(self, count_by_model: _Counts) -> list[modelspec.ModelSpec]:
        models = self._spec.model_by_name
        return self.demand.ranked(models, count_by_model)

    def _oversupplied(self, count_by_model: _Counts) -> set[str]:
        most_demanded = self.most_demanded(count_by_model)
        if most_demanded is None or self._weights.before_traffic:
            return set()
        models = self._spec.model_by_name
        return self.demand.oversupplied(most_demanded, models, count_by_model)

    def most_demanded(
        self, count_by_model: _Counts
    ) -> modelspec.ModelSpec | None:
        """Return the model in most need that some domain is large enough for.

        :param count_by_model: replicas that stand or are being formed.
        """
        largest_size = self._liveness.largest_domain_size()
        for model in self._by_demand(count_by_model):
            if model.size <= largest_size:
                return model
        return None

    def _best_domain(
        self,
        free_by_domain: _FreeByDomain,
        model: modelspec.ModelSpec,
        staged_only: bool,
    ) -> str | None:
        # The domain that is left with the fewest: a larger rest may still
        # take a larger replica.
        candidates = []
        for domain, free in free_by_domain.items():
            if len(free) < model.size:
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

    def _choose_members(
        self, free: list[runners.Runner], model: modelspec.ModelSpec
    ) -> list[runners.Runner]:
        ranked = sorted(
            free, key=lambda r: (self._weights.join_time(r, model), r.id)
        )
        # A cold head would bear only a part of the replica's requests.
        return sorted(ranked[: model.size], key=lambda r: (r.cold_until, r.id))

    def _start(
        self,
        members: list[runners.Runner],
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> None:
        epoch = next(self._epochs)
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
