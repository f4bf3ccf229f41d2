"""Tasks that go on after an error."""

from collections.abc import Callable
import os
import traceback

import eventlet

from citronvalve.forward import environment as environments
from citronvalve.model import clock

#: Time from an error to the next start of a task; one that fails at once
#: again must not take all processor time.
_RESTART_DELAY: clock.Ms = 50

#: Different errors of a task that are logged.
_MAX_LOGGED = 20

#: Called with the cause of an error, and the line that raised it.
Log = Callable[[str, str], None]


def spawn(
    env: environments.Environment, name: str, run: Callable[[], None]
) -> None:
    """Run a function that never returns, again after each error.

    What another program wrote must not end a task that follows all others.

    :param env: gets each different error, and counts all.
    :param name: of the task.
    :param run: keeps its state outside, so that it can be run again.
    """

    def log(why: str, where: str) -> None:
        env.log.change("task failed", task=name, why=why, where=where)

    count = env.metrics.record_task_failure
    eventlet.spawn(supervise, run, log, lambda: count(name))


def supervise(
    run: Callable[[], None], log: Log, count: Callable[[], None]
) -> None:
    """Run a function until it returns, again after each error.

    :param run: keeps its state outside, so that it can be run again.
    :param log: called with each different error.
    :param count: called for each error.
    """
    logged: set[str] = set()
    while True:
        try:
            return run()
        except Exception as error:  # noqa: H201 - whatever its cause
            count()
            where = _last_frame(error)
            if where not in logged and len(logged) < _MAX_LOGGED:
                logged.add(where)
                log(f"{type(error).__name__}: {error}", where)
        eventlet.sleep(_RESTART_DELAY / clock.SECOND)


def _last_frame(error: Exception) -> str:
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{os.path.basename(frame.filename)}:{frame.lineno}"
