"""Runs this build beside another one, on both interfaces.

    python -m standins.builds.main --other DIR

DIR is a checkout of the other build with its environment in ``.venv``. The
messages between daemons, the settings, the table, the records of idempotent
requests, the rows of the groups and the lease of each build are used by the
other one. Returns 1 if anything was wrong.
"""

import json
import pathlib
import subprocess  # noqa: S404 - the other build is a process of its own
import sys
import tempfile
from typing import Any

from citronvalve.daemon import green

green.patch()

import defopt  # noqa: E402

from standins.builds import build as builds  # noqa: E402
from standins.builds import check as checks  # noqa: E402
from standins.builds import forwardfleet  # noqa: E402
from standins.builds import ownfleet  # noqa: E402


_OWN_INTERFACE = (
    ("Daemons of one build replaced by those of the other", ownfleet.OwnFleet),
    ("One daemon of each build, with every kind of message", ownfleet.Pair),
)


def beside(*, other: str, seed: int = 1) -> int:
    """Run both interfaces; return 1 if anything was wrong.

    :param other: the other build's checkout.
    :param seed: draws the requests and faults of the platform's interface.
    """
    build = builds.Build(pathlib.Path(other).resolve())
    check = checks.Check()
    _compare_schemas(build, check)
    for title, run in _OWN_INTERFACE:
        print(f"== {title}", flush=True)
        with tempfile.TemporaryDirectory() as folder:
            run(pathlib.Path(folder), build, check).run()
    forwardfleet.run(build, check, seed)
    print(f"{check.wrong} wrong")
    return 1 if check.wrong else 0


def _compare_schemas(other: builds.Build, check: checks.Check) -> None:
    own, theirs = (_schema(each) for each in (builds.HERE, other))
    for part in own:
        check.that(
            own[part] == theirs[part],
            f"{len(own[part])} messages have the same shape: {part}",
            f"{own[part]}\n    {theirs[part]}",
        )


def _schema(build: builds.Build) -> dict[str, Any]:
    script = builds.ROOT / "standins" / "builds" / "schema.py"
    done = subprocess.run(
        [build.interpreter, str(script), str(build.root)],
        cwd=build.root,
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


if __name__ == "__main__":
    sys.exit(defopt.run(beside))
