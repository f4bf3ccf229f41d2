"""The kinds of messages that daemons of two builds sent each other."""

import collections
import json
import pathlib


def count(
    folder: pathlib.Path, is_other_by_name: dict[str, bool]
) -> dict[str, dict[str, int]]:
    """Return how many messages went each way, by kind.

    A message that names no daemon as its sender counts as sent by the other
    build, which is certain in a fleet of two daemons only.

    :param folder: holds the counts of the daemons.
    :param is_other_by_name: whether a daemon runs the other build.
    """
    ways: dict[str, collections.Counter[str]] = {
        "other to own": collections.Counter(),
        "own to other": collections.Counter(),
    }
    for file in sorted(folder.glob("*.json")):
        receiver = is_other_by_name[file.stem]
        way = "own to other" if receiver else "other to own"
        for key, number in json.loads(file.read_text()).items():
            kind, _, sender = key.partition(" ")
            if is_other_by_name.get(sender, not receiver) != receiver:
                ways[way][kind] += number
    return {way: dict(sorted(kinds.items())) for way, kinds in ways.items()}
