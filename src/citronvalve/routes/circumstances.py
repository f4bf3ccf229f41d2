"""What a check knows beside the configuration."""

from typing import NamedTuple


class Circumstances(NamedTuple):
    """Each value is None if it is not known; its checks are left out then.

    ``runners`` is the number of runners for replicas in a data centre,
    ``retries`` how many retries the budget allows to a single request,
    ``version`` that of the configuration in force.
    """

    runners: int | None = None
    retries: int | None = None
    version: int | None = None
