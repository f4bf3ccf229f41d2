"""A layout of replicas that is kept, whatever the load."""

import types

from citronvalve.replicas import demand
from citronvalve.replicas import lease as leases
from citronvalve.replicas import membership
from citronvalve.replicas import order as orders
from citronvalve.replicas import phase


class FixedLayout:
    """Takes the planner's place; each domain has given replicas.

    A replica whose runners come back without a group is formed again.

    :param spec: engine settings of the service.
    :param large_by_datacentre: large replicas of each domain, by data centre;
        the other runners form small ones.
    """

    def __init__(self, spec, large_by_datacentre):
        self.demand = demand.Demand(spec)
        self.wants = None
        self.before_traffic = False
        self.liveness = types.SimpleNamespace()
        self._large_by_datacentre = large_by_datacentre
        self._epochs = leases.epochs(1)
        self._members_by_key = {}
        models = spec.model_by_name.values()
        self._large = max(models, key=lambda model: model.size)
        self._small = min(models, key=lambda model: model.size)
        self._opened = set()

    def suspect_group(self, head):
        """Do nothing: the layout was chosen for the losses."""

    def record_result(self, order, result, now):
        """Do nothing: orders are given again until they show."""

    def step(self, runner_by_id, now):
        """Return the orders that form the replicas."""
        if not self._members_by_key:
            self._choose(runner_by_id)
        given = []
        for key, members in list(self._members_by_key.items()):
            held = [runner_by_id[name].membership for name in members]
            if not any(held) and key in self._opened:
                del self._members_by_key[key]
                self._add(key.model, members)
            elif any(one is None for one in held):
                for name, one in zip(members, held, strict=True):
                    if one is None:
                        given.extend(self._join(key, members, name))
            elif all(one.phase is phase.Phase.READY for one in held):
                self._opened.add(key)
                given.append(
                    orders.Order(orders.OrderKind.OPEN, members[0], key)
                )
        return given

    def _join(self, key, members, name):
        # Whoever knew the layout had the weights staged.
        yield orders.Order(orders.OrderKind.STAGE, name, model=key.model)
        yield orders.Order(
            orders.OrderKind.JOIN, name, key, key.model, members
        )

    def _add(self, model, members):
        epoch = next(self._epochs)
        key = membership.GroupKey(f"{model}~{epoch}", epoch)
        self._members_by_key[key] = members

    def _choose(self, runner_by_id):
        names_by_domain = {}
        for runner in runner_by_id.values():
            names_by_domain.setdefault(
                (runner.domain, runner.datacentre), []
            ).append(runner.id)
        for (_, datacentre), names in names_by_domain.items():
            large = self._large_by_datacentre[datacentre]
            for model, most in ((self._large, large), (self._small, 999)):
                for _ in range(min(most, len(names) // model.size)):
                    members = tuple(names[: model.size])
                    names = names[model.size :]
                    self._add(model.name, members)
