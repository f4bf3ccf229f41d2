"""Changes of decoded JSON that are written in a cell of a table."""

import copy
import json
from typing import Any

_SEPARATOR = " ; "
_REMOVED = "removed"


def alter(value: Any, changes: str) -> Any:
    """Return a copy with changes such as ``a.0.b = 5 ; c.d = removed``.

    A place is a path of keys and indices; an index after the last one adds
    an item.

    :param value: decoded JSON.
    :param changes: places and new values in JSON.
    """
    altered = copy.deepcopy(value)
    for change in changes.split(_SEPARATOR):
        place, _, text = change.partition(" = ")
        _apply(altered, place.split("."), text)
    return altered


def _apply(value: Any, path: list[str], text: str) -> None:
    *parents, last = path
    for name in parents:
        value = value[_key(value, name)]
    key = _key(value, last)
    if text == _REMOVED:
        del value[key]
    elif isinstance(value, list) and key == len(value):
        value.append(json.loads(text))
    else:
        value[key] = json.loads(text)


def _key(value: Any, name: str) -> str | int:
    return int(name) if isinstance(value, list) else name
