"""The platform's list of VMs over HTTP."""

from collections.abc import Callable
from typing import Any
import urllib.parse

import msgspec

from citronvalve.model import decoding
from citronvalve.model import hostport
from citronvalve.model import missing
from citronvalve.storage import client
from citronvalve.storage import shallow
from citronvalve.storage import vmlist

#: Most accelerators of a VM; a larger number is no number of them.
_MAX_ACCELERATORS = 1_000_000


class HttpVms(vmlist.VmList):
    """HTTP client of the list of VMs.

    An entry that can't be used is left out; the others hold.

    :param platform: client that sends the requests.
    :ivar on_left_out: called with the key of an entry and why it is left out,
        once until it can be used or is gone.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform
        self._left_out_by_datacentre: dict[str, set[str]] = {}
        self.on_left_out: Callable[[str, str], None] = lambda *_: None

    def vms(
        self, datacentre: str
    ) -> tuple[vmlist.VmRecord, ...] | missing.Unavailable:
        query = urllib.parse.urlencode({"datacentre": datacentre})
        response = self._platform.read(f"/vms?{query}")
        if missing.is_missing(response):
            return response
        if response.status != 200:
            return missing.Unavailable(f"status {response.status}", datacentre)
        try:
            entries = _decode(response.body)
        except decoding.ERRORS as error:
            return missing.Unavailable(str(error), datacentre)
        return self._usable(datacentre, entries)

    def _usable(
        self, datacentre: str, entries: list[Any]
    ) -> tuple[vmlist.VmRecord, ...]:
        known = self._left_out_by_datacentre.get(datacentre, set())
        left_out: set[str] = set()
        usable = []
        for number, entry in enumerate(entries):
            record = _to_record(entry)
            if isinstance(record, vmlist.VmRecord):
                usable.append(record)
                continue
            key = _key(entry, number)
            left_out.add(key)
            if key not in known:
                self.on_left_out(key, record.reason)
        self._left_out_by_datacentre[datacentre] = left_out
        return tuple(usable)


def _decode(body: bytes) -> list[Any]:
    try:
        return msgspec.json.decode(body, type=list[Any])
    except RecursionError:
        return msgspec.json.decode(shallow.cut(body), type=list[Any])


def _to_record(entry: Any) -> vmlist.VmRecord | missing.NotFound:
    try:
        record = msgspec.convert(entry, vmlist.VmRecord)
    except decoding.ERRORS as error:
        return missing.NotFound(str(error))
    address = hostport.parse(record.address)
    if isinstance(address, missing.Missing):
        return address
    if not 0 <= record.accelerators <= _MAX_ACCELERATORS:
        return missing.NotFound("the number of accelerators is out of range")
    return record


def _key(entry: Any, number: int) -> str:
    """Return the VM's name, or its place in the list if it has none."""
    name = entry[0] if isinstance(entry, list) and entry else None
    return name[:200] if isinstance(name, str) else f"entry {number}"
