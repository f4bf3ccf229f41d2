"""Which runners are there, from the list and from looking."""

from citronvalve.model import clock
from citronvalve.replicas import runner as runners

#: Looks in a row without an answer after which a runner counts as lost.  One
#: packet that was dropped is no proof, and two take under a second.
_LOOKS = 2

#: A runner that answers is looked at again after this time while it is in
#: doubt.
_AGAIN: clock.Ms = 400

#: How often a witness in another domain is looked at, and how long its
#: answer counts.
_WITNESS: clock.Ms = 500
_BELIEVED: clock.Ms = 1_500

#: One that left the list and answers is looked at less often.
_UNLISTED_AGAIN: clock.Ms = 2_000

#: One that left the list is kept in mind for this long.
_KEPT: clock.Ms = 30_000


class _Doubt:
    __slots__ = ("failed", "looked_at")

    def __init__(self) -> None:
        self.failed = 0
        self.looked_at: clock.Ms | None = None


class Lives:
    """Keeps what is known of each runner's life.

    The list lags by seconds when a runner dies without a word, and drops
    runners that live but can't reach it.  So whoever is accused, or gone
    from the list, is looked at before anything is decided.
    """

    def __init__(self) -> None:
        self._doubt_by_id: dict[str, _Doubt] = {}
        self._unlisted: dict[str, tuple[runners.Runner, clock.Ms]] = {}
        self._listed: dict[str, runners.Runner] = {}
        self._answered: dict[str, clock.Ms] = {}
        self._witnessed_at: clock.Ms = -_WITNESS

    def listed(
        self, runner_by_id: dict[str, runners.Runner], now: clock.Ms
    ) -> None:
        """Take in the list as it is now.

        :param runner_by_id: all that it holds.
        :param now: monotonic ms.
        """
        for gone in self._listed.keys() - runner_by_id.keys():
            self._unlisted[gone] = self._listed[gone], now
            self.accuse(gone)
        for here, runner in runner_by_id.items():
            held = self._listed.get(here)
            if held is None or held.born != runner.born:
                # A new start owes nothing to what was seen of the last.
                self._doubt_by_id.pop(here, None)
                self._unlisted.pop(here, None)
        self._listed = dict(runner_by_id)
        for gone, (_, since) in list(self._unlisted.items()):
            if now - since > _KEPT:
                del self._unlisted[gone]
                self._doubt_by_id.pop(gone, None)

    def accuse(self, runner: str) -> None:
        """Note that a runner may be lost.

        :param runner: its id.
        """
        self._doubt_by_id.setdefault(runner, _Doubt())

    def known(self) -> list[runners.Runner]:
        """Return all runners that may live, listed or not."""
        unlisted = [held for held, _ in self._unlisted.values()]
        return [
            runner
            for runner in (*self._listed.values(), *unlisted)
            if not self.is_lost(runner.id)
        ]

    def find(self, runner: str) -> runners.Runner | None:
        """Return what was last known of a runner.

        :param runner: its id.
        """
        held = self._listed.get(runner)
        if held is not None:
            return held
        unlisted = self._unlisted.get(runner)
        return unlisted[0] if unlisted else None

    def is_listed(self, runner: str) -> bool:
        """Tell whether the list holds a runner.

        :param runner: its id.
        """
        return runner in self._listed

    def is_lost(self, runner: str) -> bool:
        """Tell whether a runner counts as lost.

        :param runner: its id.
        """
        doubt = self._doubt_by_id.get(runner)
        return doubt is not None and doubt.failed >= _LOOKS

    def is_doubted(self, runner: str) -> bool:
        """Tell whether a runner is being looked at.

        :param runner: its id.
        """
        return runner in self._doubt_by_id

    def is_reachable(self, datacentre: str) -> bool:
        """Tell whether a data centre can be reached from here.

        When a link between data centres is cut, every runner behind it goes
        silent, and each of them lives.  A whole domain may fail at once, so
        it takes one in another domain that answers to tell them apart.

        :param datacentre: its name.
        """
        there = [
            r for r in self._listed.values() if r.datacentre == datacentre
        ]
        lost = {r.domain for r in there if self.is_lost(r.id)}
        if not lost:
            return True
        witnesses = [r for r in there if r.domain not in lost]
        if not witnesses:
            return len({r.domain for r in there}) == 1
        return any(r.id in self._answered for r in witnesses)

    def due(self, now: clock.Ms) -> list[str]:
        """Return the runners that are to be looked at now.

        :param now: monotonic ms.
        """
        due = self._witnesses_due(now)
        for runner, doubt in self._doubt_by_id.items():
            pause = _AGAIN if runner in self._listed else _UNLISTED_AGAIN
            if doubt.failed:
                pause = _AGAIN
            if self.is_lost(runner):
                pause = _UNLISTED_AGAIN
            if doubt.looked_at is None or now - doubt.looked_at >= pause:
                doubt.looked_at = now
                due.append(runner)
        return due

    def _witnesses_due(self, now: clock.Ms) -> list[str]:
        # While some are lost, one of each other domain is looked at too.
        lost_by_datacentre: dict[str, set[str]] = {}
        for runner in self._listed.values():
            if self.is_lost(runner.id):
                domains = lost_by_datacentre.setdefault(
                    runner.datacentre, set()
                )
                domains.add(runner.domain)
        due: dict[str, str] = {}
        for runner in self._listed.values():
            lost = lost_by_datacentre.get(runner.datacentre)
            if not lost or runner.domain in lost or runner.leaving:
                continue
            due.setdefault(runner.domain, runner.id)
        if now - self._witnessed_at < _WITNESS:
            return []
        self._answered = {
            r: at for r, at in self._answered.items() if now - at < _BELIEVED
        }
        if due:
            self._witnessed_at = now
        return list(due.values())

    def answered(self, runner: str, now: clock.Ms) -> None:
        """Note that a runner answered a look.

        :param runner: its id.
        :param now: monotonic ms.
        """
        self._answered[runner] = now
        if runner in self._listed:
            self._doubt_by_id.pop(runner, None)
            return
        doubt = self._doubt_by_id.get(runner)
        if doubt is not None:
            doubt.failed = 0

    def silent(self, runner: str) -> None:
        """Note that a look had no answer.

        A port that refuses proves no more than silence: a link that is cut
        may refuse in the runner's place, which lives behind it.

        :param runner: its id.
        """
        doubt = self._doubt_by_id.get(runner)
        if doubt is not None:
            doubt.failed += 1
