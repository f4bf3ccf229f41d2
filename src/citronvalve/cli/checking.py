"""Commands that check files without changing anything."""

import importlib

from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.model import errors


def check(file: str) -> report.Report:
    """Check a daemon's settings file.

    :param file: settings in JSON with comments.
    """
    try:
        settings = importlib.import_module("citronvalve.daemon.settings")
    except ModuleNotFoundError:
        text = "this build holds no daemon, and can't check its settings"
        return _wrong((text,), "install the daemon's package")
    try:
        settings.load(file)
    except errors.SettingsError as error:
        found = getattr(error, "mistakes", ()) or (error,)
        return _wrong(tuple(str(each) for each in found), error.remedy)
    return report.Report(
        exitcode.ExitCode.OK, f"{file} is right", {"outcome": "ok"}
    )


def _wrong(found: tuple[str, ...], remedy: str) -> report.Report:
    return report.Report(
        exitcode.ExitCode.BAD_INPUT,
        "\n".join(found),
        {"outcome": "mistakes", "mistakes": found},
        remedy or "mend the settings above",
    )
