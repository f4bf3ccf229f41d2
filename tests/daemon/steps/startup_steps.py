"""Steps about the start of the process."""

import json
import subprocess  # noqa: S404 - the tests start processes
import sys

import behave

_PROGRAM = """
import gc
import json
began = []
gc.callbacks.append(lambda _, info: began.append(info["generation"]))
from citronvalve.daemon import collector
began.clear()
collector.pause()
from citronvalve.daemon import green
green.patch()
from citronvalve.daemon import entrydaemon
imported = len(gc.get_objects())
collector.resume()
said = {"began": began, "on": gc.isenabled()}
print(json.dumps(said | {"left": len(gc.get_objects()) / imported}))
"""

#: Part of the objects that is made between the end of the pause and the count.
_NEW = 0.01


@behave.when(
    "a process imports the daemon between a pause of the collector and its end"
)
def step_import(context):
    done = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", _PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    )
    context.said = json.loads(done.stdout)


@behave.then("no collection was triggered by new objects")
def step_none(context):
    # eventlet asks for one of all generations.
    assert not {0, 1} & set(context.said["began"]), context.said


@behave.then("the collector is on, and looks at none of the imported objects")
def step_frozen(context):
    assert context.said["on"], context.said
    assert context.said["left"] < _NEW, context.said
