"""Steps about requests that must run once and are sent again."""

import behave

from tests.forward import rig as rigs
from tests.forward.steps import forward_steps
from tests.forward.steps import relaying_steps

_COUNTER = "citronvalve_forward_sent_again_total"


@behave.given("two plain runners, of which the first refuses connections")
def step_refuses(context):
    context.rig = rigs.Rig({"plain-1": ["whole"], "plain-2": ["whole"]})
    forward_steps.demote(context.rig, "plain-2")
    context.rig.runners["plain-1"].close()


@behave.given('a plain runner that first "{way}", listed under two ids')
def step_two_ids(context, way):
    context.rig = rigs.Rig(
        {"plain-1": [way, "works_a_moment"], "plain-2": ["whole"]}
    )
    context.rig.list_again("plain-1", "plain-1-again")
    forward_steps.demote(context.rig, "plain-2")


@behave.given("another one, reached directly")
def step_directly(context):
    assert not context.rig.connector.relays()


@behave.given("another one, reached through other daemons")
def step_relayed(context):
    relaying_steps.add_relays(context)
    relaying_steps.lose_links(context.rig)


@behave.when("a caller has called {path}, then at the other daemon {cause}")
def step_then_cause(context, path, cause):
    context.got = context.rig.send(path, body=b"first", number="req-0")
    assert context.got.startswith(b"HTTP/1.1 200"), context.got
    relaying_steps.step_cause(context, cause)


@behave.then('it was sent on first by the proof "{proof}"')
def step_first_proof(context, proof):
    lines = [
        line for event, line in context.rig.log.lines if event == "sent again"
    ]
    assert lines and lines[0]["proof"] == proof, lines
    assert lines[0]["request"] == "req-1", lines


@behave.when("callers call {path} {count:d} times, each with an own id")
def step_calls(context, path, count):
    for turn in range(count):
        context.got = context.rig.send(path, number=f"req-{turn}")
        assert context.got.startswith(b"HTTP/1.1 200"), context.got


@behave.when("{count:d} callers call {path} with the same id")
def step_same_id(context, count, path):
    for _ in range(count):
        context.got = context.rig.send(path, number="req-1")
        assert context.got.startswith(b"HTTP/1.1 200"), context.got


@behave.then("{count:d} connections to the runner were opened")
def step_opened(context, count):
    assert context.rig.connector.opened == count, context.rig.connector.opened


@behave.then('the proofs by which it was sent on are "{proofs}"')
def step_proofs(context, proofs):
    expected = [proof for proof in proofs.split() if proof != "none"]
    lines = [
        line for event, line in context.rig.log.lines if event == "sent again"
    ]
    assert [line["proof"] for line in lines] == expected, lines
    for line in lines:
        assert line["upstream"] == "plain-1", line
        assert line["next"] == "plain-2", line
        assert line["address"], line
    text = context.rig.env.metrics.render().decode()
    counted = [line for line in text.splitlines() if _COUNTER + "{" in line]
    wanted = [f'{_COUNTER}{{proof="{proof}"}} 1' for proof in expected]
    assert counted == wanted, counted
