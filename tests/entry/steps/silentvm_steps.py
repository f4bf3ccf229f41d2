"""Steps about VMs that are silent as a whole for a while."""

import concurrent.futures

import behave

from standins import answer
from standins import deployment as deployments
from standins import pausingproxy
from tests import drill

_MODEL = deployments.MODEL
_TOKENS = 20


def _ask(context, prompt):
    response = context.made.caller().chat(_MODEL, prompt, tokens=_TOKENS)
    return response, answer.whole(_MODEL, prompt, _TOKENS)


@behave.given("both engines are reached over VMs that can pause")
def step_proxies(context):
    made = context.made
    context.proxies = [
        pausingproxy.PausingProxy(address) for address in context.engines
    ]
    for number, proxy in enumerate(context.proxies, 1):
        context.add_cleanup(proxy.close)
        made.declaration["upstreams"][f"vm-{number}"]["address"] = (
            proxy.address
        )
    assert made.in_force(made.apply("the engines have other addresses"))
    drill.eventually(
        lambda: _ask(context, "Is it up?")[0].whole, "the engines answer"
    )


@behave.when(
    "{count:d} callers ask while both VMs are silent for {silence:d} ms"
)
def step_ask(context, count, silence):
    with concurrent.futures.ThreadPoolExecutor(count + 2) as pool:
        pausing = [
            pool.submit(proxy.pause, silence) for proxy in context.proxies
        ]
        # They ask once nothing is accepted any more.
        concurrent.futures.wait(pausing, timeout=0.1)
        asked = [
            pool.submit(_ask, context, f"How old is bag {number}?")
            for number in range(count)
        ]
        context.answers = [each.result() for each in asked]


@behave.then("each of them reads its whole answer")
def step_whole(context):
    failed = [
        response
        for response, expected in context.answers
        if not response.whole or response.text != expected
    ]
    assert not failed, (len(failed), failed[:3])
