"""A whole fleet of peers in one loop, for the measurements of spreading."""

from collections.abc import Iterator
import random
import time
from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.model import load
from citronvalve.peers import codec as codecs
from citronvalve.peers import member
from citronvalve.peers import outgoing
from citronvalve.peers import summary
from standins import memorylinks


class Cost(NamedTuple):
    """What one daemon spent a second."""

    cpu: float
    messages: float
    sent: float
    received: float


class CountedLinks(memorylinks.Links):
    """Links that encode and decode each message and add up the cost."""

    def __init__(self, *arguments, **named) -> None:
        super().__init__(*arguments, **named)
        self.codec = codecs.Codec()
        self.sent = 0
        self.received = 0
        self.cpu = 0.0

    def send(self, sender: str, out: list) -> None:
        speaker = self.node_by_name[sender].core.sender
        opened = []
        began = time.process_time()
        for address, message in out:
            data = self.codec.encode(speaker, message)
            self.sent += len(data)
            if address in self.node_by_name:
                self.received += len(data)
            message = self.codec.decode(data).message
            opened.append(outgoing.Outgoing(address, message))
        self.cpu += time.process_time() - began
        super().send(sender, opened)

    def _deliver(self, name, sender, message) -> None:
        began, inside = time.process_time(), self.cpu
        super()._deliver(name, sender, message)
        # What send() counted inside is not counted twice.
        nested = self.cpu - inside
        self.cpu += time.process_time() - began - nested


def names(datacentre: str, members: int) -> list[str]:
    """Return the names of a data centre's daemons."""
    return [f"{datacentre}-entry-{number:02}" for number in range(members)]


def start(
    links: memorylinks.Links, datacentres: int, members: int
) -> dict[str, list[str]]:
    """Start daemons that know each other already.

    :param links: what they are on.
    :param datacentres: how many.
    :param members: of each data centre.
    """
    by_place = {
        f"dc{number:02}": names(f"dc{number:02}", members)
        for number in range(datacentres)
    }
    for place, mates in by_place.items():
        for name in mates:
            links.start(name, place, tuple(mates[:2]), expected=members)
    for place, mates in by_place.items():
        for name in mates:
            _introduce(links, place, name, by_place)
    return by_place


def _introduce(links, place, name, by_place) -> None:
    node = links.node_by_name[name]
    state, now = node.core.state, node.clock.now()
    for mate in by_place[place]:
        life = links.node_by_name[mate].core.state.authority.incarnation
        state.membership.merge(member.Member(mate, place, mate, life), now)
    for other, mates in by_place.items():
        chosen = links.rng.sample(mates, min(3, len(mates)))
        contacts = tuple(summary.Contact(one, one) for one in chosen)
        state.remote.apply(
            summary.Summary(other, 0, len(mates), 0, (), contacts), now
        )


def tell_loads(
    links: memorylinks.Links, mates: list[str], upstreams: int, rng
) -> None:
    """Let each keeper measure its upstreams once, under changing load.

    :param links: what the daemons are on.
    :param mates: the daemons of one data centre.
    :param upstreams: how many they keep in all.
    :param rng: chance.
    """
    for number in range(upstreams):
        name = mates[number % len(mates)]
        node = links.node_by_name[name]
        report = load.LoadReport(
            f"engine-{number:04}",
            f"start-{number:04}",
            rng.randrange(8),
            rng.randrange(4),
            8,
            node.clock.now(),
        )
        node.core.publish_load(report)


def cost(members: int, upstreams: int, seconds: int) -> Iterator:
    """Run one data centre; yield its cost a daemon, then the loads' ages.

    :param members: daemons.
    :param upstreams: engines that they keep.
    :param seconds: of the fleet's time.
    """
    rng = random.Random(members * 1_000 + upstreams)
    links = CountedLinks(rng, loss=0.0)
    mates = start(links, 1, members)["dc00"]
    for _ in range(10):
        tell_loads(links, mates, upstreams, rng)
        links.run(clock.SECOND)
    links.messages = links.sent = links.received = 0
    links.cpu = 0.0
    ages = []
    for _ in range(seconds):
        tell_loads(links, mates, upstreams, rng)
        links.run(clock.SECOND)
        ages += _ages(links, mates[0])
    spread = members * seconds
    yield Cost(
        links.cpu / spread,
        links.messages / spread,
        links.sent / spread,
        links.received / spread,
    )
    yield sorted(ages)


def _ages(links: memorylinks.Links, name: str) -> list[clock.Ms]:
    node = links.node_by_name[name]
    now = node.clock.now()
    return [
        now - report.measured_at
        for report in node.core.state.loads.reports().values()
    ]
