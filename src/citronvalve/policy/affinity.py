"""Which upstreams are likely to hold a prompt's prefix in their cache."""

import collections
import collections.abc

from citronvalve.model import clock

#: Half of the belief in a cached prefix is gone after this time: engines
#: evict without telling, and their cache events come late and with gaps.
_HALF_LIFE: clock.Ms = 60_000

#: Prefixes remembered, about 10 MB; the one used longest ago goes first.
_MAX_PREFIXES = 20_000

#: Upstreams remembered for one prefix.  More would only be more to look
#: through: placement weighs two of them.
_MAX_HOLDERS = 8


class Affinity:
    """An estimate of the engines' prefix caches that ages.

    It only makes an upstream cheaper in placement, so a wrong entry costs
    one slow prefill and never a wrong answer.
    """

    def __init__(self) -> None:
        self._holders_by_prefix: collections.OrderedDict[
            str, dict[str, clock.Ms]
        ] = collections.OrderedDict()

    def add(self, prefix: str, upstream: str, at: clock.Ms) -> None:
        """Note that an upstream holds a prefix.

        :param prefix: key of the prefix.
        :param upstream: who has read it.
        :param at: when it did, in monotonic ms.
        """
        holders = self._holders_by_prefix.setdefault(prefix, {})
        self._holders_by_prefix.move_to_end(prefix)
        holders[upstream] = max(at, holders.get(upstream, at))
        if len(holders) > _MAX_HOLDERS:
            del holders[min(holders, key=holders.__getitem__)]
        if len(self._holders_by_prefix) > _MAX_PREFIXES:
            self._holders_by_prefix.popitem(last=False)

    def drop(self, prefix: str, upstream: str) -> None:
        """Note that an upstream evicted a prefix.

        :param prefix: key of the prefix.
        :param upstream: who evicted it.
        """
        self._holders_by_prefix.get(prefix, {}).pop(upstream, None)

    def drop_upstream(self, upstream: str) -> None:
        """Note that an upstream started afresh, with an empty cache.

        :param upstream: its name.
        """
        for holders in self._holders_by_prefix.values():
            holders.pop(upstream, None)

    def holders(
        self, prefixes: collections.abc.Iterable[str], now: clock.Ms
    ) -> dict[str, float]:
        """Return the belief, 0 to 1, in each likely holder.

        :param prefixes: keys of the prompt's prefixes, longest first; the
            first one known decides.
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
