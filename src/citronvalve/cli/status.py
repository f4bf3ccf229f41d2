"""The command that shows where the committed table is in force."""

import time
from typing import Any
from typing import NamedTuple

from citronvalve.cli import daemons
from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.cli import session
from citronvalve.cli import timestamps
from citronvalve.model import errors
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import layout

_POLL_SECONDS = 0.2

_REMEDY_BY_CODE = {
    exitcode.ExitCode.OK: "",
    exitcode.ExitCode.REFUSED: "wait with --wait; if it stays, check "
    "the logs of the daemons that are behind",
    exitcode.ExitCode.UNAVAILABLE: "check the addresses and the daemons "
    "that did not respond; their version in force is unknown",
}


class _FleetStatus(NamedTuple):
    """State of the platform and the daemons, from one round of queries."""

    head: dict[str, Any] | missing.Unavailable
    results: list[daemons.QueryResult]

    @property
    def committed(self) -> int:
        """Return the newest version that the platform or a daemon reports."""
        versions = [a.status.table_version for a in self.results if a.status]
        head = self.head["version"] if self.head else 0
        return max([head, *versions])

    def standing(self, result: daemons.QueryResult) -> str:
        """Return whether a daemon has the committed version in force."""
        if not result.status:
            return "no answer"
        behind = result.status.table_version < self.committed
        return "behind" if behind else "in force"

    @property
    def silent(self) -> list[str]:
        """Return members that any up-to-date daemon reports as unconfirmed."""
        statuses = [a.status for a in self.results if a.status]
        newest = [t for t in statuses if t.table_version == self.committed]
        return sorted({name for each in newest for name in each.silent})

    @property
    def code(self) -> exitcode.ExitCode:
        """Return the exit code of the most severe condition."""
        codes = [
            daemons.CODE_BY_STANDING[self.standing(a)] for a in self.results
        ]
        if self.silent:
            codes.append(exitcode.ExitCode.REFUSED)
        if not self.head:
            codes.append(exitcode.ExitCode.UNAVAILABLE)
        return max(codes)


def status(
    *addresses: str, wait: float = 0, platform: str = ""
) -> report.Report:
    """Show which version is committed, and where it is in force.

    :param addresses: operators' ports of daemons as HOST:PORT; one daemon
        is enough to list the members that have not confirmed the version.
    :param wait: seconds to wait until it is in force everywhere.
    :param platform: URL of the platform.
    """
    try:
        daemon_addresses = daemons.addresses(addresses)
    except errors.SettingsError as error:
        return report.Report(
            exitcode.ExitCode.BAD_INPUT,
            error.reason,
            {"outcome": "bad-input"},
            error.remedy,
        )
    service = session.open_table(platform)
    deadline = time.monotonic() + wait
    fleet = _query(service, daemon_addresses)
    while fleet.code and time.monotonic() < deadline:
        time.sleep(_POLL_SECONDS)
        fleet = _query(service, daemon_addresses)
    return _report(fleet)


def _query(
    service: tableservice.TableService, daemon_addresses: list[str]
) -> _FleetStatus:
    row = service.read(layout.TABLE, layout.HEAD)
    if isinstance(row, missing.NotFound):
        head: Any = {"version": 0, "who": "nobody", "at": 0}
    else:
        head = row if missing.is_missing(row) else row.value
    return _FleetStatus(head, daemons.query_all(daemon_addresses))


def _report(fleet: _FleetStatus) -> report.Report:
    headers = ("daemon", "data centre", "version", "", "age ms", "requests")
    lines = [_daemon_line(fleet, result) for result in fleet.results]
    text = [_committed_text(fleet), report.format_table(headers, lines)]
    if fleet.silent:
        text.append("not confirmed by: " + ", ".join(fleet.silent))
    text += [
        f"{result.status.name}: {result.status.table_trouble}"
        for result in fleet.results
        if result.status and result.status.table_trouble
    ]
    body = {
        "committed": fleet.committed,
        "platform": "ok" if fleet.head else fleet.head.reason,
        "in_force": fleet.code == exitcode.ExitCode.OK,
        "silent": fleet.silent,
        "daemons": [_daemon_body(fleet, result) for result in fleet.results],
    }
    remedy = _REMEDY_BY_CODE[fleet.code]
    return report.Report(fleet.code, "\n".join(text), body, remedy)


def _committed_text(fleet: _FleetStatus) -> str:
    if not fleet.head:
        return (
            f"the platform could not be reached: {fleet.head.reason}; the "
            f"newest version that a daemon holds is {fleet.committed}"
        )
    head = fleet.head
    return (
        f"version {head['version']} committed by {head['who']} at "
        f"{timestamps.format_utc(head['at'])}"
    )


def _daemon_line(fleet: _FleetStatus, result: daemons.QueryResult) -> tuple:
    daemon = result.status
    if not daemon:
        return (result.address, None, None, "no answer", None, daemon.reason)
    state = fleet.standing(result) + (", stopping" if daemon.stopping else "")
    return (
        daemon.name,
        daemon.datacentre,
        daemon.table_version,
        state,
        daemon.table_age_ms,
        daemon.in_progress,
    )


def _daemon_body(
    fleet: _FleetStatus, result: daemons.QueryResult
) -> dict[str, Any]:
    standing = {"address": result.address, "standing": fleet.standing(result)}
    if not result.status:
        return standing | {"reason": result.status.reason}
    daemon = result.status
    return standing | {
        "name": daemon.name,
        "datacentre": daemon.datacentre,
        "version": daemon.table_version,
        "age_ms": daemon.table_age_ms,
        "stopping": daemon.stopping,
        "in_progress": daemon.in_progress,
    }
