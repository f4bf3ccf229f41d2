"""Asks daemons for their status, all at once."""

from collections.abc import Iterable
import concurrent.futures
import os
from typing import Any
from typing import NamedTuple

import msgspec
import urllib3

from citronvalve.cli import exitcode
from citronvalve.model import errors
from citronvalve.model import missing

#: Names the daemons' operators' addresses for all commands of a shell.
DAEMONS_VARIABLE = "CITRONVALVE_DAEMONS"

#: Daemons asked at once; a fleet of 1,600 is asked through a few of them.
_MAX_PARALLEL_QUERIES = 32

_TIMEOUT_SECONDS = 3.0


class DaemonStatus(msgspec.Struct):
    """What is read of a daemon's answer; later releases may tell more.

    ``silent``: members that have not confirmed this daemon's version, as
    it knows.  ``members``: how many members it knows, itself too.
    """

    name: str
    datacentre: str
    table_version: int
    table_age_ms: int
    stopping: bool = False
    in_progress: int = 0
    members: int = 0
    silent: tuple[str, ...] = ()
    table_trouble: str = ""


class QueryResult(NamedTuple):
    """A daemon's address, and what it told."""

    address: str
    status: DaemonStatus | missing.Unavailable


def addresses(arguments: Iterable[str]) -> list[str]:
    """Return the operators' addresses to ask.

    :param given: from the command line; none takes the environment's.
    :raises errors.SettingsError: when there are none.
    """
    from_environment = os.environ.get(DAEMONS_VARIABLE, "")
    found = list(arguments) or [
        each for each in from_environment.split(",") if each
    ]
    if not found:
        raise errors.SettingsError(
            "no daemon is named",
            where="command line",
            remedy=f"give HOST:PORT of operators' ports, or set "
            f"{DAEMONS_VARIABLE} to a list with commas",
        )
    return found


def query_all(daemon_addresses: list[str]) -> list[QueryResult]:
    """Ask daemons for their status.

    :param address_by_number: host:port of each operators' port.
    """
    with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_QUERIES) as pool:
        return list(pool.map(_query_one, daemon_addresses))


def _query_one(address: str) -> QueryResult:
    url = f"http://{address.removeprefix('http://').rstrip('/')}/status"
    try:
        response = urllib3.request(
            "GET", url, retries=False, timeout=_TIMEOUT_SECONDS
        )
        status: Any = msgspec.json.decode(response.data, type=DaemonStatus)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
        status = missing.Unavailable(str(error), url)
    return QueryResult(address, status)


#: Exit code by how a daemon stands, the worst last.
CODE_BY_STANDING = {
    "in force": exitcode.ExitCode.OK,
    "behind": exitcode.ExitCode.REFUSED,
    "no answer": exitcode.ExitCode.UNAVAILABLE,
}
