"""The command that tells one request's story from the daemons' logs."""

from collections.abc import Iterable
import pathlib
from typing import Any

import msgspec

from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.model import clock

#: What changed at an upstream this long before a request's end may be the
#: cause of it: a replica that stands still tells so after four seconds.
_BEFORE: clock.Ms = 6_000

_OF_EVERY_LINE = ("wall_ms", "at_ms", "event", "daemon", "datacentre")

_Line = dict[str, Any]


def explain(request: str, *files: str) -> report.Report:
    """Tell what was decided for a request, in order.

    Beside its own lines it shows what its upstreams and their groups went
    through shortly before. Daemons' times are of their wall clocks, which
    may differ by some ms.

    :param request: its id.
    :param files: logs of one or more daemons.
    """
    try:
        lines = [line for file in files for line in _read(file)]
    except OSError as error:
        return report.Report(
            exitcode.ExitCode.BAD_INPUT,
            str(error),
            {"outcome": "unreadable"},
            "name log files that can be read",
        )
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return report.Report(
            exitcode.ExitCode.REFUSED,
            f"no line tells of {request} in {len(lines)} lines",
            {"outcome": "unknown"},
            "give the logs of every daemon of that time; the id may be of "
            "another try, or its lines were dropped under load",
        )
    story = sorted([*own, *_around(lines, own)], key=_wall)
    began = min(map(_wall, own))
    text = "\n".join(_told(line, began) for line in story)
    return report.Report(
        exitcode.ExitCode.OK, text, {"outcome": "ok", "lines": story}
    )


def _read(file: str) -> Iterable[_Line]:
    with pathlib.Path(file).open(encoding="utf-8", errors="replace") as read:
        for text in read:
            # Collectors put their own words before a line.
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = msgspec.json.decode(text[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(line, dict) and "event" in line:
                yield line


def _around(lines: list[_Line], own: list[_Line]) -> list[_Line]:
    until = max(map(_wall, own))
    since = min(map(_wall, own)) - _BEFORE
    upstreams = {line["upstream"] for line in own if "upstream" in line}
    groups = {
        line["group"]
        for line in lines
        if line.get("runner") in upstreams and line.get("group")
    }
    seen: set[tuple] = set()
    found = []
    for line in sorted(lines, key=_wall):
        if line.get("request") or not since <= _wall(line) <= until:
            continue
        about = {line.get("upstream"), line.get("runner")} & upstreams
        if not about and line.get("group") not in groups:
            continue
        # Each daemon notes the same change; one of them is enough.
        key = tuple(
            str(line.get(name))
            for name in ("event", "runner", "upstream", "phase", "order")
        )
        if key not in seen:
            seen.add(key)
            found.append(line)
    return found


def _wall(line: _Line) -> clock.Ms:
    return int(line.get("wall_ms", 0))


def _told(line: _Line, began: clock.Ms) -> str:
    inputs = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _OF_EVERY_LINE and name != "request"
    )
    at = _wall(line) - began
    return f"{at:+7d} ms  {line.get('daemon', '')}  {line['event']}: {inputs}"
