"""The limits, gauges and log lines of a daemon's memory."""

from collections.abc import Callable
import resource

from citronvalve.forward import bodybuffer
from citronvalve.forward import environment as environments
from citronvalve.policy import callerbudget
from citronvalve.policy import memoryaccount
from citronvalve.policy import memorylimits

_KIBIBYTE = 1_024

#: Bytes that an upstream takes: its entry, its load and its row.
_UPSTREAM_BYTES = 2 * _KIBIBYTE


class MemoryTask:
    """Sets what a daemon may hold.

    :param env: the daemon's environment.
    :param memory: bytes that the process may take, 0 if that is not known.
    :param slow_peers: whether what callers have not read is buffered.
    :param link: bytes per ms of the VM's link, 0 if that is not known.
    """

    def __init__(
        self,
        env: environments.Environment,
        memory: int,
        slow_peers: bool,
        link: float = 0.0,
    ) -> None:
        self._env = env
        limits = memorylimits.divide(memory, peak_bytes())
        account = env.memory
        account.limit = limits.total
        account.on_change = self._log_change
        env.bodies.most = limits.bodies
        env.body_space = bodybuffer.BodySpace(limits.answers, account)
        if slow_peers:
            env.link = link
            env.unsent = callerbudget.CallerBudget(limits.unsent, account)

    def count_upstreams(self, count: int) -> None:
        """Count what is known of upstreams.

        :param count: how many there are.
        """
        size = count * _UPSTREAM_BYTES
        self._env.memory.set(memoryaccount.Part.TABLES, size)

    def set_gauges(self, set_gauge: Callable[[str, str, float], None]) -> None:
        """Show the account.

        :param set_gauge: sets a gauge by name, documentation and value.
        """
        account = self._env.memory
        for part in memoryaccount.Part:
            held, peak = account.bytes_of(part), account.peak_of(part)
            set_gauge(f"memory_{part}_bytes", "Held now.", held)
            set_gauge(f"memory_{part}_peak_bytes", "Most held.", peak)
        set_gauge("memory_bytes", "Counted of all parts.", account.total)
        set_gauge("memory_peak_bytes", "Most of all parts.", account.peak)
        set_gauge("memory_limit_bytes", "0 is none.", account.limit)
        set_gauge("process_peak_bytes", "Most resident.", peak_bytes())

    def _log_change(self, is_full: bool) -> None:
        account = self._env.memory
        self._env.log.change(
            "memory full" if is_full else "memory free",
            limit=account.limit,
            **{part: account.bytes_of(part) for part in memoryaccount.Part},
        )


def peak_bytes() -> int:
    """Return the most bytes that the process has had resident."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _KIBIBYTE
