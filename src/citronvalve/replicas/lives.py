"""Which runners are there, from the list and from looking."""

import collections

from citronvalve.model import clock
from citronvalve.replicas import doubt as doubts
from citronvalve.replicas import runner as runners

#: A runner that answers is looked at again after this time while it is in
#: doubt.
_AGAIN: clock.Ms = 400

#: How often others of a data centre are looked at after a loss there, until
#: one of them answers.
_WITNESS: clock.Ms = 300

#: One that left the list and answers is looked at less often.
_UNLISTED_AGAIN: clock.Ms = 2_000

#: A data centre of which nobody answers for so long is behind a cut; after a
#: single loss another runner there answers within a third of it.
_CUT: clock.Ms = 1_000

#: Once a cut has healed, what is known of the data centre is old for so long:
#: its entries come back within two seconds, orders that were held up arrive.
_SETTLING: clock.Ms = 2_500

#: One that left the list is kept in mind for this long.
_KEPT: clock.Ms = 30_000


class Lives:
    """Keeps what is known of each runner's life.

    The list lags by seconds when a runner dies without a word, and drops
    runners that live but can't reach it.  So whoever is accused, or gone
    from the list, is looked at before anything is decided.
    """

    def __init__(self) -> None:
        self._doubt_by_id: dict[str, doubts.Doubt] = {}
        self._unlisted: dict[str, tuple[runners.Runner, clock.Ms]] = {}
        self._listed: dict[str, runners.Runner] = {}
        self._answered: dict[str, clock.Ms] = {}
        self._witnessed_at: clock.Ms = -_WITNESS
        self._silent_since: dict[str, clock.Ms] = {}
        self._healed_at: dict[str, clock.Ms] = {}

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
        self._answered = {
            r: at for r, at in self._answered.items() if r in self._listed
        }
        for gone, (_, since) in list(self._unlisted.items()):
            if now - since > _KEPT:
                del self._unlisted[gone]
                self._doubt_by_id.pop(gone, None)

    def accuse(self, runner: str) -> None:
        """Note that a runner may be lost.

        :param runner: its id.
        """
        self._doubt_by_id.setdefault(runner, doubts.Doubt())

    def known(self) -> list[runners.Runner]:
        """Return all runners that may live, listed or not."""
        unlisted = [held for held, _ in self._unlisted.values()]
        return [
            runner
            for runner in (*self._listed.values(), *unlisted)
            if not self.is_lost(runner.id)
        ]

    def is_departed(self, runner: str) -> bool:
        """Tell whether a runner that is silent left in order.

        One that leaves listens no more while its head's work goes on, and
        stays for that work.  Taken for dead, it would have its group cut,
        and callers would lose streams that end within a second or two.  It
        said that it leaves, or it answered after it had left the list; one
        that dies does neither.

        :param runner: its id.
        """
        held = self.find(runner)
        if held is None or not self.is_lost(runner):
            return False
        return held.leaving or self._doubt_by_id[runner].outlived_entry

    def departed(self) -> list[runners.Runner]:
        """Return the silent runners that left in order, as last known."""
        return [
            self.find(runner)
            for runner in self._doubt_by_id
            if self.is_departed(runner)
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

    def largest_domain(self) -> int:
        """Return how many listed runners the largest domain has."""
        counts = collections.Counter(r.domain for r in self._listed.values())
        return max(counts.values(), default=0)

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
        return doubt is not None and doubt.is_lost

    def is_doubted(self, runner: str) -> bool:
        """Tell whether a runner is being looked at.

        :param runner: its id.
        """
        return runner in self._doubt_by_id

    def is_reachable(self, datacentre: str) -> bool:
        """Tell whether a data centre can be reached from here.

        When a link between data centres is cut, every runner behind it goes
        silent, and each of them lives.  So after the last loss there another
        runner must have answered; an answer from before the loss may be from
        before the cut.

        :param datacentre: its name.
        """
        lost = self._lost_at_by_datacentre().get(datacentre)
        if lost is None:
            return True
        return any(
            at >= lost
            for runner, at in self._answered.items()
            if self._is_in(runner, datacentre)
        )

    def due(self, now: clock.Ms) -> list[str]:
        """Return the runners that are to be looked at now.

        :param now: monotonic ms.
        """
        due = self._witnesses_due(now)
        for runner, doubt in self._doubt_by_id.items():
            pause = _AGAIN if runner in self._listed else _UNLISTED_AGAIN
            if doubt.is_silent:
                pause = _AGAIN
            if doubt.is_lost:
                pause = _UNLISTED_AGAIN
            if doubt.looked_at is None or now - doubt.looked_at >= pause:
                doubt.looked_at = now
                due.append(runner)
        return due

    def is_settled(self, datacentre: str, now: clock.Ms) -> bool:
        """Tell whether what is known of a data centre can be acted on.

        :param datacentre: its name.
        :param now: monotonic ms.
        """
        if not self.is_reachable(datacentre):
            return False
        healed = self._healed_at.get(datacentre)
        return healed is None or now - healed >= _SETTLING

    def watch_cuts(self, now: clock.Ms) -> None:
        """Note which data centres are behind a cut, and which are back.

        Whoever went silent behind a cut is asked anew when it has healed;
        taken for lost, it would lose its group, which served all the while.

        :param now: monotonic ms.
        """
        for datacentre in self._lost_at_by_datacentre():
            if not self.is_reachable(datacentre):
                self._silent_since.setdefault(datacentre, now)
                continue
            since = self._silent_since.pop(datacentre, None)
            if since is not None and now - since >= _CUT:
                self._healed_at[datacentre] = now
                self._doubt_anew(datacentre)

    def _doubt_anew(self, datacentre: str) -> None:
        for runner in self._doubt_by_id:
            held = self.find(runner)
            if held is not None and held.datacentre == datacentre:
                self._doubt_by_id[runner] = doubts.Doubt()

    def _is_in(self, runner: str, datacentre: str) -> bool:
        held = self._listed.get(runner)
        return held is not None and held.datacentre == datacentre

    def _lost_at_by_datacentre(self) -> dict[str, clock.Ms]:
        newest: dict[str, clock.Ms] = {}
        for runner, doubt in self._doubt_by_id.items():
            held = self.find(runner)
            if doubt.lost_at is None or held is None:
                continue
            before = newest.get(held.datacentre, doubt.lost_at)
            newest[held.datacentre] = max(before, doubt.lost_at)
        return newest

    def _witnesses_due(self, now: clock.Ms) -> list[str]:
        # After a loss one runner of each domain there is looked at, until
        # one of them has answered.
        if now - self._witnessed_at < _WITNESS:
            return []
        silent = {
            datacentre
            for datacentre in self._lost_at_by_datacentre()
            if not self.is_reachable(datacentre)
        }
        due: dict[str, str] = {}
        for runner in self._listed.values():
            usable = not runner.leaving and not self.is_lost(runner.id)
            if runner.datacentre in silent and usable:
                due.setdefault(runner.domain, runner.id)
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
            doubt.outlived()

    def silent(self, runner: str, now: clock.Ms) -> None:
        """Note that a look had no answer.

        A port that refuses proves no more than silence: a link that is cut
        may refuse in the runner's place, which lives behind it.

        :param runner: its id.
        :param now: monotonic ms.
        """
        doubt = self._doubt_by_id.get(runner)
        if doubt is not None:
            doubt.silent(now)
