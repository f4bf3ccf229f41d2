"""A site whose wanted replicas are counted by data centre.

Pattern: 6 domains of 37 runners in 3 data centres, models of 16 and 4.  The
load of each model is held, and is the same in each data centre.
"""

from citronvalve.replicas import order as orders
from citronvalve.replicas import wants
from citronvalve.routes import modelspec
from tests.replicas import world as worlds

LARGE, SMALL = "m0", "m1"
MODELS = {
    LARGE: modelspec.ModelSpec(LARGE, 16, 0.5, 1.0, 16_000, 1_600),
    SMALL: modelspec.ModelSpec(SMALL, 4, 0.5, 0.6, 12_000, 1_100),
}
_DOMAINS, _DOMAIN_SIZE, _DATACENTRES = 6, 37, 3
_FORMING_TIME = 16_000


class WideSite:
    """The planner before such domains, under loads that are held."""

    def __init__(self, load_by_model, local_rooms):
        self.world = worlds.World(
            0,
            0,
            models=MODELS,
            slots=15,
            weight_loads_per_second=18.0,
            max_concurrent_loads=27,
            local_rooms=local_rooms,
        )
        self.load_by_place = {
            wants.Place(model, f"zone-{number}"): load / _DATACENTRES
            for model, load in load_by_model.items()
            for number in range(_DATACENTRES)
        }
        self.fewest_large = _DOMAINS
        for domain in range(_DOMAINS):
            for number in range(_DOMAIN_SIZE):
                self.add(f"r{domain}-{number}", domain, True, number)
        self.world.planner.before_traffic = True
        self.world.run(_FORMING_TIME)
        self.world.planner.before_traffic = False
        self.world.sent.clear()

    def add(self, name, domain, staged, number):
        """Add a runner to a domain."""
        datacentre = f"zone-{domain % _DATACENTRES}"
        self.world.add(name, datacentre, f"d{domain}", staged, number)

    def run(self, span):
        """Run plans for a time in ms."""
        planner = self.world.planner
        end = self.world.now + span
        while self.world.now < end:
            now = self.world.now
            load = {
                model: sum(
                    each
                    for place, each in self.load_by_place.items()
                    if place.model == model
                )
                for model in MODELS
            }
            planner.demand.observe(load, now)
            if planner.wants is not None:
                planner.wants.observe(self.load_by_place, now)
            self.world.step()
            large = len(self.world.open_heads(LARGE))
            self.fewest_large = min(self.fewest_large, large)

    def lose_members(self, count, interval):
        """Lose members of large replicas of domain 0, one after the other."""
        for _ in range(count):
            heads = self.heads(LARGE, 0) or self.heads(SMALL, 0)
            members = self.world.members(heads[0].id)
            victim = next(m for m in members if m != heads[0].id)
            self.world.crash(victim)
            self.world.unlisted.add(victim)
            self.run(interval)

    def heads(self, model, domain):
        """Return the heads of a model that serve in a domain."""
        return [
            head
            for head in self.world.open_heads(model)
            if head.domain.endswith(f"/d{domain}")
        ]

    def orders(self, kind):
        """Return the orders of a kind that were given."""
        return [o for _, o in self.world.sent if o.kind is kind]

    def closed_complete(self):
        """Return the complete replicas that were closed, by model."""
        return [
            order.key.model for order in self.orders(orders.OrderKind.CLOSE)
        ]
