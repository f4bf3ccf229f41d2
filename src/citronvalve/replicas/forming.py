"""Forms replicas from free runners, and opens them once all are ready."""

import collections
from collections.abc import Iterator

from citronvalve.model import clock
from citronvalve.replicas import heads as heads_
from citronvalve.replicas import lives as lives_
from citronvalve.replicas import membership
from citronvalve.replicas import need as needs
from citronvalve.replicas import order as orders
from citronvalve.replicas import orderbook
from citronvalve.replicas import pending as pendings
from citronvalve.replicas import phase
from citronvalve.replicas import runner as runners
from citronvalve.replicas import standing as standings
from citronvalve.replicas import weights as weights_
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

#: Added to the expected time of a join before it is given up.
_JOIN_MARGIN: clock.Ms = 2_500

_Kind = orders.OrderKind
_ByDomain = dict[str, list[runners.Runner]]
_Counts = collections.Counter[str]


class Forming:
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
        lives: lives_.Lives,
        heads: heads_.Heads,
        weights: weights_.Weights,
        book: orderbook.OrderBook,
    ) -> None:
        self._spec = spec
        self._epochs = epochs
        self._lives = lives
        self._heads = heads
        self._weights = weights
        self._book = book
        self.pending_by_key: dict[membership.GroupKey, pendings.Pending] = {}
        self.need = needs.Need()

    def adopt(self, standing: standings.Standing, now: clock.Ms) -> None:
        """Open what a leader formed that did not come to open it.

        :param standing: a replica whose members are all ready.
        :param now: monotonic ms.
        """
        members = tuple(
            standing.member_by_rank[rank].id for rank in range(standing.size)
        )
        self.pending_by_key[standing.key] = pendings.Pending(
            standing.key, members, now + _JOIN_MARGIN
        )

    def advance(
        self,
        pending: pendings.Pending,
        standing: standings.Standing | None,
        now: clock.Ms,
    ) -> bool:
        """Bring a replica a step on; return False when it was given up.

        :param pending: the replica.
        :param standing: what its members say, if any does.
        :param now: monotonic ms.
        """
        if standing is not None and standing.phase is phase.Phase.OPEN:
            del self.pending_by_key[pending.key]
            return True
        lost = any(
            self._lives.is_lost(m) or not self._lives.is_listed(m)
            for m in pending.members
        )
        if lost or now >= pending.until:
            del self.pending_by_key[pending.key]
            if not lost and self._heads.has_opened(pending.key):
                # It serves; only the list does not show it yet.
                return True
            if pending.opened:
                self._heads.gave_up(pending, now)
            return False
        if standing is not None and standing.is_ready():
            # Each member has itself said that it is ready under this name
            # and epoch; the head checks none of them.
            pending.opened = True
            head = pending.members[0]
            self._book.give(orders.Order(_Kind.OPEN, head, pending.key), now)
        else:
            self._join(pending, now)
        return True

    def form(
        self,
        by_domain: _ByDomain,
        count_by_model: _Counts,
        filling: bool,
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
        for quick in (True, False):
            while self._form_one(
                by_domain, count_by_model, filling, quick, now
            ):
                pass

    def _form_one(
        self,
        by_domain: _ByDomain,
        count_by_model: _Counts,
        filling: bool,
        quick: bool,
        now: clock.Ms,
    ) -> bool:
        spared = self._to_spare(count_by_model)
        for model in self._ranked(count_by_model):
            if model.name in spared:
                # Its next replica would stand idle, and take the runners
                # that the other model needs as soon as one more is there.
                continue
            domain = self._fitting(by_domain, model, quick)
            if domain is None and filling:
                # Replicas of the smaller model would take the places of the
                # larger one, which only does not fit yet.
                return False
            if domain is None:
                continue
            there = by_domain[domain]
            members = self._members(there, model)
            # Where weights are missing it is counted as formed all the
            # same, or the next in need would take its members.
            if quick or self._weights.bring(members, model, now):
                self._begin(members, model, now)
            count_by_model[model.name] += 1
            for runner in members:
                there.remove(runner)
            return True
        return False

    def _ranked(self, count_by_model: _Counts) -> list[modelspec.ModelSpec]:
        models = self._spec.model_by_name
        return self.need.ranked(models, count_by_model)

    def _to_spare(self, count_by_model: _Counts) -> set[str]:
        top = self.top(count_by_model)
        if top is None or self._weights.early:
            return set()
        models = self._spec.model_by_name
        return self.need.to_spare(top, models, count_by_model)

    def top(self, count_by_model: _Counts) -> modelspec.ModelSpec | None:
        """Return the model in most need that some domain is large enough for.

        :param count_by_model: replicas that stand or are being formed.
        """
        largest = self._lives.largest_domain()
        for model in self._ranked(count_by_model):
            if model.size <= largest:
                return model
        return None

    def _fitting(
        self, by_domain: _ByDomain, model: modelspec.ModelSpec, quick: bool
    ) -> str | None:
        # The domain that is left with the fewest: a larger rest may still
        # take a larger replica.
        fits = []
        for domain, there in by_domain.items():
            if len(there) < model.size:
                continue
            prices = [
                self._weights.price(r, model)
                for r in self._members(there, model)
            ]
            loads = max(prices) >= model.load_time and not self._weights.early
            if not (quick and loads):
                fits.append((sum(prices), len(there), domain))
        return min(fits)[2] if fits else None

    def _members(
        self, there: list[runners.Runner], model: modelspec.ModelSpec
    ) -> list[runners.Runner]:
        ranked = sorted(
            there, key=lambda r: (self._weights.price(r, model), r.id)
        )
        # A cold head would bear only a part of the replica's requests.
        return sorted(ranked[: model.size], key=lambda r: (r.cold_until, r.id))

    def _begin(
        self,
        members: list[runners.Runner],
        model: modelspec.ModelSpec,
        now: clock.Ms,
    ) -> None:
        epoch = next(self._epochs)
        key = membership.GroupKey(f"{model.name}~{epoch}", epoch)
        span = max(self._weights.price(r, model) for r in members)
        pending = pendings.Pending(
            key,
            tuple(runner.id for runner in members),
            now + span + _JOIN_MARGIN,
        )
        self.pending_by_key[key] = pending
        self._join(pending, now)

    def _join(self, pending: pendings.Pending, now: clock.Ms) -> None:
        for member in pending.members:
            runner = self._lives.find(member)
            held = runner.membership if runner else None
            if held is not None and held.key == pending.key:
                continue
            self._book.give(
                orders.Order(
                    _Kind.JOIN,
                    member,
                    pending.key,
                    pending.key.model,
                    pending.members,
                ),
                now,
            )
