"""A replica that the leader is forming."""

from citronvalve.model import clock
from citronvalve.replicas import membership


class PendingReplica:
    """A replica that was ordered and is not yet open.

    :param key: the formation.
    :param members: ids, the head first.
    :param deadline: monotonic ms at which it is abandoned.
    :ivar open_ordered: whether the head was ordered to open.
    """

    def __init__(
        self,
        key: membership.GroupKey,
        members: tuple[str, ...],
        deadline: clock.Ms,
    ) -> None:
        self.key = key
        self.members = members
        self.deadline = deadline
        self.open_ordered = False
