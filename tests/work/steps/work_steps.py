"""Steps about works that are played on simulated daemons and engines."""

import pathlib
import tempfile

import behave

from tests.work import site
from tests.work import workfile

_FOLDER = pathlib.Path(__file__).parents[3] / "examples" / "work"


def _read(name):
    return workfile.read(_FOLDER / f"{name}.json5")


@behave.given('the work of "{name}"')
def step_work(context, name):
    context.work = _read(name)


@behave.given("the shifted work without losses")
def step_without_losses(context):
    context.work = _read("shifted")
    context.work.loss_interval = 0


@behave.given("nothing else happens")
def step_nothing(context):
    pass


@behave.given("data centre {number:d} is out of service for {seconds:d} s")
def step_out(context, number, seconds):
    context.work.datacentre_out = number
    context.work.out_begin = 5_000
    context.work.out_end = 5_000 + seconds * 1_000


@behave.when("it is played with seed {seed:d}")
@behave.when("it is played with seed {seed:d} again")
def step_play(context, seed):
    context.earlier = context.outcomes if "outcomes" in context else None
    played = site.Site(context.work, seed)
    played.run()
    assert not played.world.violations, played.world.violations
    context.site = played
    context.outcomes = played.results.outcomes()


@behave.then('at least {least:d} in 100 of "{kind}" are in time')
def step_in_time(context, least, kind):
    outcome = context.outcomes[kind]
    assert 100 * outcome.in_time >= least * outcome.asked, outcome


@behave.then("both runs are the same")
def step_same(context):
    assert context.outcomes == context.earlier, context.outcomes


@behave.given('a file of "{name}" with "{old}" replaced by "{new}"')
def step_replaced(context, name, old, new):
    text = (_FOLDER / f"{name}.json5").read_text()
    assert old in text, old
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "work.json5"
    context.path.write_text(text.replace(old, new, 1))


@behave.then('reading it fails and names "{place}"')
def step_fails(context, place):
    try:
        workfile.read(context.path)
    except workfile.WorkError as error:
        assert place in str(error), error
    else:
        raise AssertionError("it was read")
