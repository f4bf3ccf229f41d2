"""Requests in progress, so that a shutdown can wait for them."""


class Progress:
    """Counts what has begun and not ended.

    :ivar count: requests in progress.
    :ivar stopping: whether the daemon says that it is not ready.
    :ivar closed: whether new requests are refused.  It comes later: until
        the balancer has noticed, callers would meet needless refusals.
    """

    def __init__(self) -> None:
        self.count = 0
        self.stopping = False
        self.closed = False

    def begin(self) -> None:
        """Count a request that begins."""
        self.count += 1

    def end(self) -> None:
        """Count a request that ends, however it does."""
        self.count -= 1
