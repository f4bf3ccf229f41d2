"""Steps for a daemon that asks others for its tables."""

import types

import behave

from citronvalve.daemon import newcomers
from citronvalve.model import manualclock
from citronvalve.peers import messagecodec
from citronvalve.peers import rendezvous
from citronvalve.replicas import lease

#: Time in ms between two requests, and for which others may answer.
_INTERVAL = 60
_WAIT = 400

_HERE = "place-1"


class _Tables:
    """Two tables of which no row is known."""

    def __init__(self):
        self.tail_by_table = {
            name: types.SimpleNamespace(peers_until=0, expects_peers=True)
            for name in ("op", "servers")
        }


@behave.given(
    "a {what} of a daemon that ranks {rank:d} of {count:d} in its data centre"
)
def step_start(context, what, rank, count):
    names = rendezvous.rank(_HERE, [f"d-{n}" for n in range(count)])
    own = names[rank - 1]
    peers = {name: lease.Peer(f"{name}:1", _HERE) for name in names}
    context.own = own
    context.sources = {f"{name}:1" for name in names[:2]} - {f"{own}:1"}
    context.clock = manualclock.ManualClock()
    context.asked = []
    context.tables = _Tables()
    context.newcomers = newcomers.Newcomers(
        types.SimpleNamespace(name=own, datacentre=_HERE, clock=context.clock),
        f"{own}:1",
        types.SimpleNamespace(
            peer_by_name=peers,
            leader="",
            has_scanned=True,
            own_peer=peers[own],
        ),
        context.tables,
        messagecodec.MessageCodec(),
        lambda address, data: context.asked.append(address),
    )
    context.newcomers.is_restart = what == "restart"
    context.newcomers.expect_tables(_WAIT)


@behave.when("{span:d} ms pass without an answer")
def step_pass(context, span):
    context.goes_on = True
    for attempt in range(span // _INTERVAL):
        context.clock.advance(_INTERVAL)
        if context.goes_on:
            context.goes_on = context.newcomers.request_once(attempt)


def _expecting(context):
    now = context.clock.now()
    return [
        name
        for name, tail in context.tables.tail_by_table.items()
        if tail.peers_until > now
    ]


@behave.then("it reads the tables for itself")
def step_reads(context):
    assert not context.goes_on
    assert not _expecting(context), _expecting(context)


@behave.then("it goes on asking the first two")
def step_asks(context):
    assert context.goes_on
    assert _expecting(context) == ["op", "servers"], _expecting(context)
    assert context.asked and set(context.asked) <= context.sources
