"""A replica that the leader is forming."""

from citronvalve.model import clock
from citronvalve.replicas import membership


class PendingReplica:
    """Ordered, and not yet seen open.

    :param key: the formation.
    :param members: ids, the head first.
    :param until: monotonic ms at which it is given up.
    :ivar opened: whether the head was told to open.
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
