"""An object store in memory."""

from citronvalve.model import missing
from citronvalve.storage import objectstore
from standins import faults


class MemoryObjects(objectstore.ObjectStore):
    """Whole objects by name.

    :ivar faults: what goes wrong with the next calls.
    """

    def __init__(self) -> None:
        self.faults = faults.Faults()
        self._body_by_name: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | missing.NotFound | missing.Unavailable:
        if self.faults.strikes(faults.Fault.DOWN):
            return missing.Unavailable("the object store is down", name)
        body = self._body_by_name.get(name)
        if body is None:
            return missing.NotFound("no such object", name)
        return body

    def put(
        self, name: str, body: bytes
    ) -> missing.Unavailable | missing.AnswerLost | None:
        if self.faults.strikes(faults.Fault.DOWN):
            return missing.Unavailable("the object store is down", name)
        self._body_by_name[name] = bytes(body)
        if self.faults.strikes(faults.Fault.LOSE_ANSWER):
            return missing.AnswerLost("the answer was lost", name)
        return None
