"""The command that traces one request through the daemons' logs."""

from collections.abc import Iterable
import pathlib
from typing import Any

import msgspec

from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.model import clock
from citronvalve.model import decoding

#: Changes at an upstream are shown from this long before the request's first
#: line, as they may be the cause of its outcome: a stalled replica is reported
#: only after four seconds.
_LOOKBACK: clock.Ms = 6_000

#: Events that say whether a daemon has links to the upstreams.
_LINK_EVENTS = frozenset({"links cut", "links back"})

_COMMON_FIELDS = ("wall_ms", "at_ms", "event", "daemon", "datacentre")

_Line = dict[str, Any]


def explain(request: str, *files: str) -> report.Report:
    """Show the decisions about a request in chronological order.

    Includes changes of its upstreams and their groups from shortly before,
    and since when the links of its daemons have been cut.
    Times are from the daemons' wall clocks, which may differ by some ms.

    :param request: id of the request.
    :param files: log files of one or more daemons.
    """
    try:
        lines = [line for file in files for line in _read(file)]
    except OSError as error:
        return report.Report(
            exitcode.ExitCode.BAD_INPUT,
            str(error),
            {"outcome": "unreadable"},
            "give log files that can be read",
        )
    own_lines = [line for line in lines if line.get("request") == request]
    if not own_lines:
        return report.Report(
            exitcode.ExitCode.REFUSED,
            f"no line mentions {request} in {len(lines)} lines",
            {"outcome": "unknown"},
            "give the logs of all daemons from that time; the id may be of "
            "another attempt, or its lines were dropped under load",
        )
    timeline = sorted(
        [
            *own_lines,
            *_related_lines(lines, own_lines),
            *_cut_lines(lines, own_lines),
        ],
        key=_wall_time,
    )
    started_at = min(map(_wall_time, own_lines))
    text = "\n".join(_format_line(line, started_at) for line in timeline)
    return report.Report(
        exitcode.ExitCode.OK, text, {"outcome": "ok", "lines": timeline}
    )


def _read(file: str) -> Iterable[_Line]:
    with pathlib.Path(file).open(encoding="utf-8", errors="replace") as stream:
        for text in stream:
            # Log collectors put a prefix before the JSON object.
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(text[start:])
            except decoding.ERRORS:
                continue
            if isinstance(line, dict) and "event" in line:
                yield line


def _related_lines(lines: list[_Line], own_lines: list[_Line]) -> list[_Line]:
    until = max(map(_wall_time, own_lines))
    since = min(map(_wall_time, own_lines)) - _LOOKBACK
    upstreams = {line["upstream"] for line in own_lines if "upstream" in line}
    groups = {
        line["group"]
        for line in lines
        if line.get("runner") in upstreams and line.get("group")
    }
    seen: set[tuple] = set()
    related = []
    for line in sorted(lines, key=_wall_time):
        if line.get("request") or not since <= _wall_time(line) <= until:
            continue
        matching = {line.get("upstream"), line.get("runner")} & upstreams
        if not matching and line.get("group") not in groups:
            continue
        # Every daemon logs the same change; only the first line is kept.
        key = tuple(
            str(line.get(name))
            for name in ("event", "runner", "upstream", "phase", "order")
        )
        if key not in seen:
            seen.add(key)
            related.append(line)
    return related


def _cut_lines(lines: list[_Line], own_lines: list[_Line]) -> list[_Line]:
    """Return since when the links of the request's daemons were cut, if so."""
    until = max(map(_wall_time, own_lines))
    daemons = {line.get("daemon") for line in own_lines}
    last_by_daemon = {
        line["daemon"]: line
        for line in sorted(lines, key=_wall_time)
        if line["event"] in _LINK_EVENTS
        and line.get("daemon") in daemons
        and _wall_time(line) <= until
    }
    return [
        line
        for line in last_by_daemon.values()
        if line["event"] == "links cut"
    ]


def _wall_time(line: _Line) -> clock.Ms:
    return int(line.get("wall_ms", 0))


def _format_line(line: _Line, started_at: clock.Ms) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _COMMON_FIELDS and name != "request"
    )
    offset = _wall_time(line) - started_at
    return (
        f"{offset:+7d} ms  {line.get('daemon', '')}  {line['event']}: {fields}"
    )
