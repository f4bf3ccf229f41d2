"""The object store over HTTP."""

import urllib.parse

from citronvalve.model import missing
from citronvalve.storage import client
from citronvalve.storage import objectstore


class HttpObjects(objectstore.ObjectStore):
    """Whole objects by name.

    :param platform: the client to send calls by.
    """

    def __init__(self, platform: client.PlatformClient) -> None:
        self._platform = platform

    def get(self, name: str) -> bytes | missing.NotFound | missing.Unavailable:
        answer = self._platform.read(_path(name))
        if missing.is_missing(answer):
            return answer
        if answer.status == 404:
            return missing.NotFound("no such object", name)
        if answer.status != 200:
            return missing.Unavailable(f"status {answer.status}", name)
        return answer.body

    def put(
        self, name: str, body: bytes
    ) -> missing.Unavailable | missing.AnswerLost | None:
        answer = self._platform.write("PUT", _path(name), body)
        if missing.is_missing(answer):
            return answer
        if answer.status != 200:
            return missing.Unavailable(f"status {answer.status}", name)
        return None


def _path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name, safe="")
