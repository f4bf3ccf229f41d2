"""Prints the shape of all messages of a build, without the project's names.

    python schema.py ROOT

Two builds that print the same read and write the same bytes. Messages that
are arrays are shown by position; those that are maps by the names on the
wire. Classes are found by looking through all modules, so that renaming
one changes nothing here.
"""

import enum
import importlib
import json
import pathlib
import pkgutil
import sys
import types
from typing import Any
import warnings

warnings.simplefilter("ignore")

import msgspec  # noqa: E402

_PACKAGES = ("citronvalve", "adapter")


def _modules() -> list[types.ModuleType]:
    found = []
    for name in _PACKAGES:
        package = importlib.import_module(name)
        walked = pkgutil.walk_packages(package.__path__, f"{name}.")
        found += [importlib.import_module(each.name) for each in walked]
    return found


def _shape(info: Any) -> Any:
    """Return a type as a JSON value without names of the project."""
    if isinstance(info, msgspec.inspect.StructType):
        if info.array_like:
            return {
                "tag": info.tag,
                "fields": [_field(f) for f in info.fields],
            }
        by_name = {f.encode_name: _field(f) for f in info.fields}
        return {"tag": info.tag, "fields": by_name}
    if isinstance(info, msgspec.inspect.NamedTupleType):
        return {"fields": [_field(field) for field in info.fields]}
    if isinstance(info, msgspec.inspect.TypedDictType):
        return {f.encode_name: _field(f) for f in info.fields}
    if isinstance(info, msgspec.inspect.EnumType):
        return sorted(str(each.value) for each in info.cls)
    if isinstance(info, msgspec.inspect.Type):
        parts = {
            name: _shape(getattr(info, name))
            for name in info.__struct_fields__
        }
        return {type(info).__name__: parts}
    if isinstance(info, tuple):
        return [_shape(each) for each in info]
    return repr(info)


def _field(field: msgspec.inspect.Field) -> Any:
    default = field.default
    if isinstance(default, tuple):
        default = list(default)
    shown = "" if default is msgspec.NODEFAULT else repr(default)
    return [_shape(field.type), field.required, shown]


def _of(type_: Any) -> Any:
    return _shape(msgspec.inspect.type_info(type_))


def _numbered(module: types.ModuleType) -> dict[str, Any]:
    """Return message types that a module's table lists by number."""
    return {
        str(int(key)): _of(value)
        for table in vars(module).values()
        if isinstance(table, dict)
        for key, value in table.items()
        if isinstance(key, enum.IntEnum) and isinstance(value, type)
    }


def main() -> None:
    """Print the shapes as JSON."""
    root = pathlib.Path(sys.argv[1])
    sys.path[:0] = [str(root / "src"), str(root / "platform")]
    tagged: dict[Any, Any] = {}
    numbered: dict[str, Any] = {}
    maps: set[str] = set()
    for module in _modules():
        numbered |= _numbered(module)
        for value in vars(module).values():
            if not isinstance(value, type):
                continue
            if not issubclass(value, msgspec.Struct):
                continue
            if value.__module__ != module.__name__:
                continue
            tag = value.__struct_config__.tag
            if tag:
                tagged[tag] = _of(value)
            else:
                maps.add(json.dumps(_of(value), sort_keys=True))
    print(
        json.dumps(
            {"tagged": tagged, "numbered": numbered, "maps": sorted(maps)},
            sort_keys=True,
        )
    )


if __name__ == "__main__":
    main()
