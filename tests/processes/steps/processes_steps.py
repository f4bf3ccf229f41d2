"""Steps about soaks of real processes."""

import pathlib
import tempfile

import behave

from standins.soak import ledger as ledgers
from standins.soak import run as runs

_ALWAYS = {
    "what may not repeat runs once",
    "what runs is what was asked",
    "what was said not to run does not",
    "what was said not to run has not",
    "an answer that looks whole is whole",
    "a group that serves is whole",
}

_ASKED = ledgers.Asked("r", False, "/once/a", b"ask", "team-1", "key-1")
_RUN = _ASKED._replace(key="")


@behave.given(
    "a soak of seed {seed:d} for {seconds:d} s with {count:d} daemons"
)
def step_soak(context, seed, seconds, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.soak = runs.Soak(
        seed, seconds, count, 12, pathlib.Path(folder.name)
    )


@behave.when("it has run")
def step_run(context):
    context.soak.run()


@behave.then("no promise was broken")
def step_kept(context):
    assert not context.soak.book.broken, context.soak.book.broken[:5]


@behave.then("each promise that holds always was looked at")
def step_looked(context):
    looked = context.soak.book.looked_by_promise
    assert not _ALWAYS - looked.keys(), looked


@behave.given("a ledger with a request that may run once")
def step_ledger(context):
    context.book = ledgers.Ledger()
    context.book.ask(_ASKED)


def _refuse_and_run(book):
    book.refused(_ASKED.id, 503)
    book.ran(_RUN, "m0")


def _run_twice(book):
    book.ran(_RUN, "m0")
    book.ran(_RUN, "m1")


def _run_and_refuse(book):
    book.ran(_RUN, "m0")
    book.refused(_ASKED.id, 503)


_DO_BY_MISTAKE = {
    "another team": lambda book: book.ran(_RUN._replace(team="t"), "m0"),
    "another body": lambda book: book.ran(_RUN._replace(body=b""), "m0"),
    "the caller's key": lambda book: book.ran(_ASKED, "m0"),
    "an unknown id": lambda book: book.ran(_RUN._replace(id="s"), "m0"),
    "an earlier run": _run_twice,
    "an earlier 503": _refuse_and_run,
    "a later 503": _run_and_refuse,
}


@behave.when("a runner runs it with {mistake}")
def step_mistake(context, mistake):
    _DO_BY_MISTAKE[mistake](context.book)


@behave.then('the promise "{promise}" is broken')
def step_broken(context, promise):
    found = {broken.promise for broken in context.book.broken}
    assert found == {promise}, found
