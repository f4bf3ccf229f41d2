"""The object store over HTTP."""

import urllib.parse

from citronvalve.model import missing
from citronvalve.storage import client
from citronvalve.storage import objectstore


class HttpObjects(objectstore.ObjectStore):
    """HTTP client of the object store.

    :param platform: client that sends the requests.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    def get(self, name: str) -> bytes | missing.NotFound | missing.Unavailable:
        response = self._platform.read(_path(name))
        if missing.is_missing(response):
            return response
        if response.status == 404:
            return missing.NotFound("no such object", name)
        if response.status != 200:
            return missing.Unavailable(f"status {response.status}", name)
        return response.body

    def put(
        self, name: str, body: bytes
    ) -> missing.Unavailable | missing.AnswerLost | None:
        response = self._platform.write("PUT", _path(name), body)
        if missing.is_missing(response):
            return response
        if response.status != 200:
            return missing.Unavailable(f"status {response.status}", name)
        return None


def _path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name, safe="")
