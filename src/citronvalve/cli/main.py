"""Entry point of the operators' command-line tool."""

from collections.abc import Callable
import functools
import inspect
import signal
import sys

import defopt
import msgspec

from citronvalve.cli import checking
from citronvalve.cli import configurations
from citronvalve.cli import editing
from citronvalve.cli import explaining
from citronvalve.cli import grouping
from citronvalve.cli import queries
from citronvalve.cli import reference
from citronvalve.cli import report
from citronvalve.cli import status

_JSON_DOC = "\n:param json: print one JSON object instead of text.\n"


def _command(run: Callable[..., report.Report]) -> Callable:
    """Wrap a command so that it accepts ``--json`` and prints its report."""

    @functools.wraps(run)
    def command(*args, json: bool = False, **options) -> int:
        return _print_report(run(*args, **options), json)

    signature = inspect.signature(run)
    option = inspect.Parameter(
        "json",
        inspect.Parameter.KEYWORD_ONLY,
        default=False,
        annotation=bool,
    )
    command.__signature__ = signature.replace(
        parameters=[*signature.parameters.values(), option],
        return_annotation=int,
    )
    command.__annotations__ = {**run.__annotations__, "json": bool}
    command.__doc__ = inspect.cleandoc(run.__doc__ or "") + _JSON_DOC
    del command.__wrapped__
    return command


def _print_report(result: report.Report, as_json: bool) -> int:
    code = int(result.code)
    if as_json:
        body = {"exit_code": code, **result.body}
        if result.remedy:
            body["remedy"] = result.remedy
        print(msgspec.json.encode(body).decode())
        return code
    print(result.text)
    if result.remedy:
        print(f"remedy: {result.remedy}", file=sys.stderr)
    return code


_COMMANDS = {
    "check": _command(configurations.check),
    "plan": _command(editing.plan),
    "apply": _command(editing.apply),
    "table": {
        "show": _command(queries.show),
        "columns": _command(reference.columns),
        "history": _command(queries.history),
        "set": _command(editing.set_row),
        "remove": _command(editing.remove_row),
        "revert": _command(editing.revert),
    },
    "audit": _command(queries.trail),
    "status": _command(status.status),
    "groups": _command(grouping.groups),
    "explain": _command(explaining.explain),
    "settings": {"check": _command(checking.check)},
}


def main(argv: list[str] | None = None) -> None:
    """Run one command and exit with its code.

    :param argv: arguments after the program's name; None uses sys.argv.
    """
    if argv is None:
        # A reader such as head may close the pipe early; this is no error.
        signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    sys.exit(defopt.run(_COMMANDS, argv=argv, no_negated_flags=True))


if __name__ == "__main__":
    main()
