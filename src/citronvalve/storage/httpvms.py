"""The platform's list of VMs over HTTP."""

import urllib.parse

import msgspec

from citronvalve.model import missing
from citronvalve.storage import client
from citronvalve.storage import vmlist


class HttpVms(vmlist.VmList):
    """HTTP client of the list of VMs.

    :param platform: client that sends the requests.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

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
            return msgspec.json.decode(
                response.body, type=tuple[vmlist.VmRecord, ...]
            )
        except msgspec.MsgspecError as error:
            return missing.Unavailable(str(error), datacentre)
