"""Access to the adapter of the platform, which is outside the package."""

import importlib
import pathlib
import sys
from typing import Protocol

from citronvalve.model import errors
from citronvalve.model import missing
from citronvalve.policy import retrybudget
from citronvalve.routes import reading

#: Module of an adapter that decodes configuration files.
_MODULE = "adapter.configurationfile"


class Adapter(Protocol):
    """What an adapter's module for configuration files provides."""

    def read_draft(
        self, content: bytes
    ) -> reading.Reading | missing.Unavailable:
        """Decode a configuration.

        :param content: contents of the file.
        """

    def read_retry_limits(self, path: str) -> retrybudget.RetryLimits:
        """Return the retry budget of a settings file.

        :param path: a daemon's settings file.
        """


def load(folder: str) -> Adapter:
    """Import an adapter.

    :param folder: folder that holds the package ``adapter``.
    :raises errors.SettingsError: if there is none.
    """
    path = pathlib.Path(folder).absolute()
    if not path.joinpath(*_MODULE.split(".")).with_suffix(".py").is_file():
        raise _load_error(folder, "there is none in this folder")
    if str(path) not in sys.path:
        sys.path.insert(0, str(path))
    try:
        return importlib.import_module(_MODULE)
    except ImportError as error:
        raise _load_error(folder, str(error)) from error


def _load_error(folder: str, why: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"no adapter can be imported: {why}",
        where=folder,
        remedy="give the folder platform/ of the repository",
    )
