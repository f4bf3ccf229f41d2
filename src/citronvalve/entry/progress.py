"""Count of the requests in progress, for a graceful shutdown."""


class Progress:
    """Counts the requests in progress.

    :ivar count: requests in progress.
    :ivar stopping: whether the daemon reports that it is not ready.
    :ivar closed: whether new requests are refused.  It is set later than
        ``stopping``: until the load balancer has reacted, refusals would be
        needless.
    """

    def __init__(self) -> None:
        self.count = 0
        self.stopping = False
        self.closed = False

    def begin(self) -> None:
        """Count a request that starts."""
        self.count += 1

    def end(self) -> None:
        """Count a request that ended, with any outcome."""
        self.count -= 1
