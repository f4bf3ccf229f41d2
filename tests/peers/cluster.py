"""A few members on in-memory links, for the steps of several features."""

import random

from citronvalve.model import clock
from citronvalve.peers import loankey
from standins import memorylinks

COLD = loankey.LoanKey(loankey.LoanKind.COLD, "engine-1", "start-1")
TEAM = loankey.LoanKey(loankey.LoanKind.TEAM, "ledger/coder/d0")
TEAM_LIMIT = 6
#: Long enough for the members to find each other and lend slots.
SETTLE_TIME = 25 * clock.SECOND
STEP = 250


def start_member(context, name, expected=0):
    seeds = tuple(n for n in context.names if n != name)[:2]
    context.links.start(name, name[:2], seeds, expected=expected)
    loan_manager = state(context, name).loan_manager
    for key, limit in ((COLD, 1), (TEAM, TEAM_LIMIT)):
        loan_manager.lender.set_limit(key, limit)
        loan_manager.borrower.request_slots(key, limit)


def state(context, name):
    return context.links.node_by_name[name].core.state


def held_slots(context, key):
    slots_by_name = {}
    for name, node in context.links.node_by_name.items():
        slots = node.core.state.loan_manager.borrower.usable_slots(
            key, node.clock.now()
        )
        if slots:
            slots_by_name[name] = slots
    return slots_by_name


def wait_until(context, timeout, condition):
    for _ in range(0, timeout, STEP):
        if condition():
            return
        context.links.run(STEP)
    raise AssertionError(f"not within {timeout} ms")


def check_lent_once(context):
    held = held_slots(context, COLD)
    assert sum(held.values()) <= 1, held


def start_members(context, count):
    context.links = memorylinks.Links(random.Random(count))
    context.names = [f"d0-{number}" for number in range(count)]
    for name in context.names:
        start_member(context, name, count)
    context.links.run(SETTLE_TIME)
    assert sum(held_slots(context, COLD).values()) == 1
    context.links.after_each = lambda: check_lent_once(context)
