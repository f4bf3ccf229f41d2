"""Shows how far the committed table is in force."""

import time
from typing import Any
from typing import NamedTuple

from citronvalve.cli import daemons
from citronvalve.cli import exitcode
from citronvalve.cli import moments
from citronvalve.cli import report
from citronvalve.cli import session
from citronvalve.model import errors
from citronvalve.model import missing
from citronvalve.storage import tableservice
from citronvalve.table import layout

_LOOK_SECONDS = 0.2

_REMEDY_BY_CODE = {
    exitcode.ExitCode.OK: "",
    exitcode.ExitCode.REFUSED: "wait with --wait; if it stays, look at the "
    "log of the daemons that are behind",
    exitcode.ExitCode.UNAVAILABLE: "check the addresses and the daemons "
    "that gave no answer; what they have in force is not known",
}


class _Seen(NamedTuple):
    """One look at the platform and the daemons."""

    head: dict[str, Any] | missing.Unavailable
    asked: list[daemons.Asked]

    @property
    def committed(self) -> int:
        """Return the newest version known, from the platform or a daemon."""
        told = [a.told.table_version for a in self.asked if a.told]
        head = self.head["version"] if self.head else 0
        return max([head, *told])

    def standing(self, asked: daemons.Asked) -> str:
        """Tell how a daemon stands to the committed version."""
        if not asked.told:
            return "no answer"
        behind = asked.told.table_version < self.committed
        return "behind" if behind else "in force"

    @property
    def silent(self) -> list[str]:
        """Return members that have not confirmed, as any daemon knows."""
        told = [a.told for a in self.asked if a.told]
        newest = [t for t in told if t.table_version == self.committed]
        return sorted({name for each in newest for name in each.silent})

    @property
    def code(self) -> exitcode.ExitCode:
        """Return the worst that was seen."""
        codes = [
            daemons.CODE_BY_STANDING[self.standing(a)] for a in self.asked
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

    :param addresses: operators' ports of daemons as HOST:PORT; any one
        tells which members have not confirmed.
    :param wait: seconds to wait until it is in force everywhere.
    :param platform: URL of the platform.
    """
    try:
        named = daemons.addresses(addresses)
    except errors.SettingsError as error:
        return report.Report(
            exitcode.ExitCode.BAD_INPUT,
            error.reason,
            {"outcome": "bad-input"},
            error.remedy,
        )
    service = session.table(platform)
    until = time.monotonic() + wait
    seen = _look(service, named)
    while seen.code and time.monotonic() < until:
        time.sleep(_LOOK_SECONDS)
        seen = _look(service, named)
    return _told(seen)


def _look(service: tableservice.TableService, named: list[str]) -> _Seen:
    row = service.read(layout.TABLE, layout.HEAD)
    if isinstance(row, missing.NotFound):
        head: Any = {"version": 0, "who": "nobody", "at": 0}
    else:
        head = row if missing.is_missing(row) else row.value
    return _Seen(head, daemons.ask(named))


def _told(seen: _Seen) -> report.Report:
    heads = ("daemon", "data centre", "version", "", "age ms", "requests")
    lines = [_line(seen, asked) for asked in seen.asked]
    text = [_committed(seen), report.grid(heads, lines)]
    if seen.silent:
        text.append("not confirmed by: " + ", ".join(seen.silent))
    text += [
        f"{asked.told.name}: {asked.told.table_trouble}"
        for asked in seen.asked
        if asked.told and asked.told.table_trouble
    ]
    body = {
        "committed": seen.committed,
        "platform": "ok" if seen.head else seen.head.reason,
        "in_force": seen.code == exitcode.ExitCode.OK,
        "silent": seen.silent,
        "daemons": [_body(seen, asked) for asked in seen.asked],
    }
    remedy = _REMEDY_BY_CODE[seen.code]
    return report.Report(seen.code, "\n".join(text), body, remedy)


def _committed(seen: _Seen) -> str:
    if not seen.head:
        return (
            f"the platform could not be asked: {seen.head.reason}; the newest "
            f"version that a daemon holds is {seen.committed}"
        )
    head = seen.head
    return (
        f"version {head['version']} committed by {head['who']} at "
        f"{moments.text(head['at'])}"
    )


def _line(seen: _Seen, asked: daemons.Asked) -> tuple:
    told = asked.told
    if not told:
        return (asked.address, None, None, "no answer", None, told.reason)
    state = seen.standing(asked) + (", stopping" if told.stopping else "")
    return (
        told.name,
        told.datacentre,
        told.table_version,
        state,
        told.table_age_ms,
        told.in_progress,
    )


def _body(seen: _Seen, asked: daemons.Asked) -> dict[str, Any]:
    standing = {"address": asked.address, "standing": seen.standing(asked)}
    if not asked.told:
        return standing | {"reason": asked.told.reason}
    told = asked.told
    return standing | {
        "name": told.name,
        "datacentre": told.datacentre,
        "version": told.table_version,
        "age_ms": told.table_age_ms,
        "stopping": told.stopping,
        "in_progress": told.in_progress,
    }
