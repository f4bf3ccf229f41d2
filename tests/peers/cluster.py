"""A few members on links in memory, for the steps of several features."""

import random

from citronvalve.model import clock
from citronvalve.peers import loankey
from standins import memorylinks

COLD = loankey.LoanKey(loankey.LoanKind.COLD, "engine-1", "start-1")
TEAM = loankey.LoanKey(loankey.LoanKind.TEAM, "ledger/coder/d0")
TEAM_LIMIT = 6
CALM = 25 * clock.SECOND
STEP = 250


def start(context, name, expected=0):
    seeds = tuple(n for n in context.names if n != name)[:2]
    context.links.start(name, name[:2], seeds, expected=expected)
    loan_manager = state(context, name).loan_manager
    for key, limit in ((COLD, 1), (TEAM, TEAM_LIMIT)):
        loan_manager.lender.set_limit(key, limit)
        loan_manager.borrower.request_slots(key, limit)


def state(context, name):
    return context.links.node_by_name[name].core.state


def held(context, key):
    held = {}
    for name, node in context.links.node_by_name.items():
        slots = node.core.state.loan_manager.borrower.usable_slots(
            key, node.clock.now()
        )
        if slots:
            held[name] = slots
    return held


def within(context, span, true):
    for _ in range(0, span, STEP):
        if true():
            return
        context.links.run(STEP)
    raise AssertionError(f"not within {span} ms")


def look_once_lent(context):
    lent = held(context, COLD)
    assert sum(lent.values()) <= 1, lent


def begin(context, count):
    context.links = memorylinks.Links(random.Random(count))
    context.names = [f"d0-{number}" for number in range(count)]
    for name in context.names:
        start(context, name, count)
    context.links.run(CALM)
    assert sum(held(context, COLD).values()) == 1
    context.links.after_each = lambda: look_once_lent(context)
