"""The kinds of messages that daemons of two builds sent each other."""

import collections
import json
import pathlib


def count(
    folder: pathlib.Path, is_other_by_name: dict[str, bool]
) -> dict[str, dict[str, int]]:
    """Return how many messages went each way, by kind.

    A message that names no daemon of the fleet as its sender is counted in
    a fleet of two daemons only: there it is from the other build.

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
            from_other = (
                not receiver if len(is_other_by_name) == 2 else receiver
            )
            if is_other_by_name.get(sender, from_other) != receiver:
                ways[way][kind] += number
    return {way: dict(sorted(kinds.items())) for way, kinds in ways.items()}
