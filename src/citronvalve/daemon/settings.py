"""Settings of a daemon, read from a JSON file with comments."""

from collections.abc import Callable
import pathlib
import re
from typing import Any
from typing import NamedTuple

import json5

from citronvalve.model import clock
from citronvalve.model import errors


class Settings(NamedTuple):
    """Startup settings of a daemon.

    Addresses are ``host:port`` with an IP number.  ``seeds`` are addresses
    of peers in this and in other data centres.  ``body`` is the largest
    request body in bytes.  ``stop_notice`` is the time in ms between
    becoming not ready and closing the listener, for the balancer to notice.
    ``write_timeout`` is the time in ms after which a response that the
    caller does not read is aborted.  The keys are CURVE keys in Z85, all
    three or none.  ``daemons_here`` is the expected number of daemons in the
    data centre, or 0.  With it, loans during a partition are bounded to a
    part of each limit, and a daemon that is expected to be alone lends cold
    upstreams without waiting for others.  ``memory`` is what the process may
    take, in bytes.
    """

    name: str
    datacentre: str
    callers: str
    operators: str
    peers: str
    platform: str
    seeds: tuple[str, ...] = ()
    body: int = 1_048_576
    stop_notice: clock.Ms = 1_000
    write_timeout: clock.Ms = 30_000
    peer_public_key: str = ""
    peer_secret_key: str = ""
    fleet_public_keys: tuple[str, ...] = ()
    daemons_here: int = 0
    log_level: str = "INFO"
    memory: int = 256_000_000


class Field(NamedTuple):
    """Check of one setting; the remedy describes the valid values."""

    is_valid: Callable[[Any], bool]
    remedy: str


_ADDRESS = re.compile(r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}|\[[0-9a-fA-F:]+\]:\d+")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_KEY_LENGTH = 40
_LEVELS = ("TRACE", "DEBUG", "INFO", "NOTICE", "WARNING", "ERROR")
_MAX_BODY_BYTES = 64 * 1024 * 1024
_MIN_MEMORY = 64_000_000
_MAX_MEMORY = 1_000_000_000_000
_MAX_PORT = 65_535
_MAX_DAEMONS_HERE = 256


def _is_address(value: Any) -> bool:
    if not isinstance(value, str) or not _ADDRESS.fullmatch(value):
        return False
    return 0 < int(value.rpartition(":")[2]) <= _MAX_PORT


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and bool(_NAME.fullmatch(value))


def _in_range(lowest: int, highest: int) -> Callable[[Any], bool]:
    return lambda value: type(value) is int and lowest <= value <= highest


def _is_key(value: Any) -> bool:
    return isinstance(value, str) and len(value) in (0, _KEY_LENGTH)


def _list_of(is_valid: Callable[[Any], bool]) -> Callable[[Any], bool]:
    return lambda value: isinstance(value, list) and all(map(is_valid, value))


_ADDRESS_REMEDY = "give an IP number and a port, such as '10.0.0.1:8080'"
_NAME_REMEDY = "give a name of letters, digits, dots, dashes, 63 at most"
_KEY_REMEDY = "give a CURVE key of 40 characters, or leave it out"

_FIELD_BY_NAME: dict[str, Field] = {
    "name": Field(_is_name, _NAME_REMEDY),
    "datacentre": Field(_is_name, _NAME_REMEDY),
    "callers": Field(_is_address, _ADDRESS_REMEDY),
    "operators": Field(_is_address, _ADDRESS_REMEDY),
    "peers": Field(_is_address, _ADDRESS_REMEDY),
    "platform": Field(_is_address, _ADDRESS_REMEDY),
    "seeds": Field(
        _list_of(_is_address), f"list addresses; {_ADDRESS_REMEDY}"
    ),
    "body": Field(
        _in_range(1_024, _MAX_BODY_BYTES),
        f"give bytes from 1024 to {_MAX_BODY_BYTES}",
    ),
    "stop_notice": Field(_in_range(0, 60_000), "give ms from 0 to 60000"),
    "write_timeout": Field(
        _in_range(100, 600_000), "give ms from 100 to 600000"
    ),
    "peer_public_key": Field(_is_key, _KEY_REMEDY),
    "peer_secret_key": Field(_is_key, _KEY_REMEDY),
    "fleet_public_keys": Field(_list_of(_is_key), f"list keys; {_KEY_REMEDY}"),
    "daemons_here": Field(
        _in_range(0, _MAX_DAEMONS_HERE), f"give 0 to {_MAX_DAEMONS_HERE}"
    ),
    "memory": Field(
        _in_range(_MIN_MEMORY, _MAX_MEMORY),
        f"give bytes from {_MIN_MEMORY} to {_MAX_MEMORY}",
    ),
    "log_level": Field(_LEVELS.__contains__, f"give one of {_LEVELS}"),
}

_REQUIRED = tuple(
    name for name in Settings._fields if name not in Settings._field_defaults
)


def load(path: str) -> Settings:
    """Read and check a file.

    :param path: of a JSON file, comments allowed.
    :raises errors.SettingsError: naming every mistake, one a line, with
        its path in the file, the given value and the remedy.
    """
    try:
        values = json5.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            str(error), where=path, remedy="give a file of JSON with comments"
        ) from error
    if not isinstance(values, dict):
        raise errors.SettingsError(
            f"it holds a {type(values).__name__}",
            where=path,
            remedy="give an object of settings",
        )
    return check(values, path)


def check(values: dict[str, Any], path: str) -> Settings:
    """Check settings.

    :param values: the settings by name.
    :param path: path of their file, for the error.
    :raises errors.SettingsError: naming every mistake.
    """
    mistakes = [
        *_unknown(values, path),
        *_missing(values, path),
        *_invalid(values, path),
        *_incomplete_keys(values, path),
    ]
    if mistakes:
        raise errors.SettingsError("\n".join(map(str, mistakes)))
    lists = {k: tuple(v) for k, v in values.items() if isinstance(v, list)}
    return Settings(**(values | lists))


def _unknown(values: dict[str, Any], path: str) -> list[errors.SettingsError]:
    return [
        errors.SettingsError(
            f"there is no such setting (it is {value!r})",
            where=f"{path}: {name}",
            remedy=f"remove it, or use one of {', '.join(_FIELD_BY_NAME)}",
        )
        for name, value in values.items()
        if name not in _FIELD_BY_NAME
    ]


def _missing(values: dict[str, Any], path: str) -> list[errors.SettingsError]:
    return [
        errors.SettingsError(
            "it is missing",
            where=f"{path}: {name}",
            remedy=_FIELD_BY_NAME[name].remedy,
        )
        for name in _REQUIRED
        if name not in values
    ]


def _invalid(values: dict[str, Any], path: str) -> list[errors.SettingsError]:
    return [
        errors.SettingsError(
            f"it is {_format_value(name, values[name])}",
            where=f"{path}: {name}",
            remedy=field.remedy,
        )
        for name, field in _FIELD_BY_NAME.items()
        if name in values and not field.is_valid(values[name])
    ]


def _incomplete_keys(
    values: dict[str, Any], path: str
) -> list[errors.SettingsError]:
    names = ("peer_public_key", "peer_secret_key", "fleet_public_keys")
    given = [name for name in names if values.get(name)]
    if not given or len(given) == len(names):
        return []
    # With only some of the keys a daemon would send plaintext although
    # encryption seems to be configured.
    return [
        errors.SettingsError(
            f"only {', '.join(given)} given",
            where=f"{path}: peer keys",
            remedy=f"give all of {', '.join(names)}, or none",
        )
    ]


def _format_value(name: str, value: Any) -> str:
    # A mistyped secret must not end in a log.
    return "not shown" if "secret" in name else repr(value)
