"""Commands that validate files."""

import importlib

from citronvalve.cli import exitcode
from citronvalve.cli import report
from citronvalve.model import errors


def check(file: str) -> report.Report:
    """Check a daemon's settings file.

    :param file: settings file in JSON with comments.
    """
    try:
        settings = importlib.import_module("citronvalve.daemon.settings")
    except ModuleNotFoundError:
        text = "this build has no daemon package and can't check its settings"
        return _invalid((text,), "install the daemon's package")
    try:
        settings.load(file)
    except errors.SettingsError as error:
        problems = getattr(error, "mistakes", ()) or (error,)
        return _invalid(tuple(str(each) for each in problems), error.remedy)
    return report.Report(
        exitcode.ExitCode.OK, f"{file} is valid", {"outcome": "ok"}
    )


def _invalid(problems: tuple[str, ...], remedy: str) -> report.Report:
    return report.Report(
        exitcode.ExitCode.BAD_INPUT,
        "\n".join(problems),
        {"outcome": "mistakes", "mistakes": problems},
        remedy or "correct the settings above",
    )
