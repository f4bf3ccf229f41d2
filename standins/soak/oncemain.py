"""Runs soaks of requests that must run once by seed.

make soak-once FIRST=1 COUNT=20 SECONDS=30
"""

import sys

from citronvalve.daemon import green

green.patch()

import defopt  # noqa: E402

from standins.soak import main  # noqa: E402
from standins.soak import once  # noqa: E402


def soak(
    *,
    first: int = 1,
    count: int = 1,
    seconds: float = 30.0,
    daemons: int = 6,
    calling: int = 24,
    keep: str = "",
) -> int:
    """Run soaks one after the other; return 1 when a promise was broken.

    :param first: first seed.
    :param count: how many seeds.
    :param seconds: of each.
    :param daemons: processes of the program.
    :param calling: callers at a time.
    :param keep: folder for the output of runs that broke a promise.
    """
    return main.play(
        range(first, first + count),
        lambda seed, folder: once.OnceSoak(
            seed, seconds, daemons, calling, folder
        ),
        _print,
        keep,
    )


def _print(seed: int, run: once.OnceSoak) -> None:
    looked = run.book.looked_by_promise
    print(
        f"seed {seed}: {run.desk.done}, ends {dict(run.book.ends)}, ran "
        f"{looked['what may not repeat runs once']}, sent again "
        f"{run.sent_again}",
        flush=True,
    )
    for one in run.book.broken[:10]:
        print(f"  BROKEN at {one.at:.2f}: {one.promise}")
        print(f"    {one.detail[:400]}", flush=True)


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
