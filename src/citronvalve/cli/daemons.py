"""Query the status of daemons in parallel."""

from collections.abc import Iterable
import concurrent.futures
import os
from typing import Any
from typing import NamedTuple

import msgspec
import urllib3

from citronvalve.cli import exitcode
from citronvalve.connections import pool
from citronvalve.model import decoding
from citronvalve.model import errors
from citronvalve.model import missing

#: Environment variable with the default operators' addresses of daemons,
#: separated by commas.
DAEMONS_VARIABLE = "CITRONVALVE_DAEMONS"

#: Bounds the number of threads when a fleet of 1,600 daemons is queried.
_MAX_PARALLEL_QUERIES = 32

_TIMEOUT_SECONDS = 3.0


class DaemonStatus(msgspec.Struct):
    """The fields of a daemon's status response that the tool uses.

    Unknown fields are ignored, since later releases may add some.

    :ivar members: number of members that the daemon knows, itself included.
    :ivar silent: members that have not confirmed the daemon's table version,
        as far as the daemon knows.
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
    """A daemon's address and its status, or why the status is unavailable."""

    address: str
    status: DaemonStatus | missing.Unavailable


def addresses(arguments: Iterable[str]) -> list[str]:
    """Return the operators' addresses of the daemons to query.

    :param arguments: addresses from the command line; if there are none,
        those in the environment variable are used.
    :raises errors.SettingsError: if neither gives an address.
    """
    from_environment = os.environ.get(DAEMONS_VARIABLE, "")
    found = list(arguments) or [
        each for each in from_environment.split(",") if each
    ]
    if not found:
        raise errors.SettingsError(
            "no daemon address is given",
            where="command line",
            remedy=f"give HOST:PORT of operators' ports, or set "
            f"{DAEMONS_VARIABLE} to a comma-separated list",
        )
    return found


def query_all(daemon_addresses: list[str]) -> list[QueryResult]:
    """Return the status of each daemon, in the order of the addresses.

    :param daemon_addresses: operators' ports as HOST:PORT.
    """
    with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL_QUERIES) as pool:
        return list(pool.map(_query_one, daemon_addresses))


def _query_one(address: str) -> QueryResult:
    url = f"http://{address.removeprefix('http://').rstrip('/')}/status"
    try:
        response = pool.PoolManager().request(
            "GET", url, retries=False, timeout=_TIMEOUT_SECONDS
        )
        status: Any = msgspec.json.decode(response.data, type=DaemonStatus)
    except (urllib3.exceptions.HTTPError, *decoding.ERRORS) as error:
        status = missing.Unavailable(str(error), url)
    return QueryResult(address, status)


#: Exit codes by whether a daemon has the committed table version in force,
#: in ascending severity.
CODE_BY_STANDING = {
    "in force": exitcode.ExitCode.OK,
    "behind": exitcode.ExitCode.REFUSED,
    "no answer": exitcode.ExitCode.UNAVAILABLE,
}
