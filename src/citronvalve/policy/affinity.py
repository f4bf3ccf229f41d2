"""Estimates of which upstreams have a prompt's prefix in their cache."""

import collections
import collections.abc

from citronvalve.model import clock

#: Half-life of the probability that a prefix is cached: engines evict
#: without notice, and their cache events arrive late and with gaps.
_HALF_LIFE: clock.Ms = 60_000

#: Prefixes kept, about 10 MB; the least recently used is evicted first.
_MAX_PREFIXES = 20_000

#: Upstreams kept for one prefix.  Placement considers only two of them, so
#: that more would only cost time.
_MAX_HOLDERS = 8


class Affinity:
    """An estimate of the engines' prefix caches that decays with time.

    It only lowers an upstream's cost in placement, so that a wrong entry
    causes a slow prefill and never a wrong answer.
    """

    def __init__(self) -> None:
        self._holders_by_prefix: collections.OrderedDict[
            str, dict[str, clock.Ms]
        ] = collections.OrderedDict()

    def add(self, prefix: str, upstream: str, at: clock.Ms) -> None:
        """Record that an upstream has cached a prefix.

        :param prefix: key of the prefix.
        :param upstream: name of the upstream.
        :param at: when it was cached, in monotonic ms.
        """
        holders = self._holders_by_prefix.setdefault(prefix, {})
        self._holders_by_prefix.move_to_end(prefix)
        holders[upstream] = max(at, holders.get(upstream, at))
        if len(holders) > _MAX_HOLDERS:
            del holders[min(holders, key=holders.__getitem__)]
        if len(self._holders_by_prefix) > _MAX_PREFIXES:
            self._holders_by_prefix.popitem(last=False)

    def drop(self, prefix: str, upstream: str) -> None:
        """Record that an upstream evicted a prefix.

        :param prefix: key of the prefix.
        :param upstream: name of the upstream.
        """
        self._holders_by_prefix.get(prefix, {}).pop(upstream, None)

    def drop_upstream(self, upstream: str) -> None:
        """Drop all prefixes of an upstream, whose cache is empty.

        :param upstream: name of the upstream.
        """
        for holders in self._holders_by_prefix.values():
            holders.pop(upstream, None)

    def holders(
        self, prefixes: collections.abc.Iterable[str], now: clock.Ms
    ) -> dict[str, float]:
        """Return the probability, by upstream, that the prefix is cached.

        :param prefixes: keys of the prompt's prefixes, longest first; the
            first known one is used.
        :param now: monotonic ms.
        """
        for prefix in prefixes:
            holders = self._holders_by_prefix.get(prefix)
            if holders:
                return {
                    name: 0.5 ** (max(0, now - at) / _HALF_LIFE)
                    for name, at in holders.items()
                }
        return {}
