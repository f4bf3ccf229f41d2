"""State machines about edits of the table and daemons that poll it."""

import random

from hypothesis import stateful
from hypothesis import strategies

from citronvalve.model import invariant
from citronvalve.model import manualclock
from citronvalve.model import missing
from citronvalve.storage import rows
from citronvalve.table import audit
from citronvalve.table import edit
from citronvalve.table import editor
from citronvalve.table import follower
from citronvalve.table import layout
from citronvalve.table import reader
from citronvalve.table import rowedits
from citronvalve.table import watcher
from standins import hostiletable
from standins import memorytable

_NAMES = strategies.sampled_from(["a", "b", "c"])
_WEIGHTS = strategies.sampled_from([1, 2, 3])
_FATES = strategies.lists(
    strategies.sampled_from(hostiletable.Fate), max_size=5
)


class RacingOperators(stateful.RuleBasedStateMachine):
    """Operators edit concurrently through a store that loses responses."""

    CHECKS = invariant.Invariants()

    def __init__(self):
        super().__init__()
        self.store = memorytable.MemoryTable()
        self.links = [hostiletable.HostileTable(self.store) for _ in "123"]
        self.editors = [
            editor.Editor(link, manualclock.ManualClock(), random.Random(seed))
            for seed, link in enumerate(self.links)
        ]
        self.outcome_by_why = {}
        self.scans = []
        self.watcher = watcher.Watcher(
            watcher.PollTiming(), random.Random(1), self.CHECKS
        )
        self.follower = follower.Follower(self.CHECKS)

    def _author(self):
        self.outcome_by_why[why := str(len(self.outcome_by_why))] = None
        return edit.Author("operator", why)

    def _set(self, at, name, weight):
        author = self._author()
        stored = reader.read_state(self.store).value_by_key
        key = layout.key("datacentres", name)
        wanted = rowedits.set_columns(
            key, {"weight": weight}, key not in stored
        )
        done = self.editors[at].apply(wanted, author)
        self.outcome_by_why[author.why] = done

    @stateful.rule(
        at=strategies.integers(0, 2),
        name=_NAMES,
        weight=_WEIGHTS,
        fates=_FATES,
    )
    def sets(self, at, name, weight, fates):
        """Set a weight while the store applies faults to the commits."""
        self.links[at].fates.extend(fates)
        self._set(at, name, weight)
        self.links[at].fates.clear()

    @stateful.rule(name=_NAMES, other=_NAMES, weight=_WEIGHTS, fates=_FATES)
    def races(self, name, other, weight, fates):
        """Commit another operator's edit between a read and its commit."""
        link = self.links[0]
        link.fates.extend(fates)
        link.before_commit = lambda: self._set(1, other, weight)
        self._set(0, name, weight + 1)
        link.fates.clear()

    @stateful.rule(name=_NAMES, fates=_FATES)
    def removes(self, name, fates):
        """Remove a row."""
        author = self._author()
        self.links[2].fates.extend(fates)
        wanted = rowedits.remove_row(layout.key("datacentres", name))
        done = self.editors[2].apply(wanted, author)
        self.outcome_by_why[author.why] = done
        self.links[2].fates.clear()

    @stateful.rule(back=strategies.integers(0, 4), fates=_FATES)
    def reverts(self, back, fates):
        """Revert to an earlier version."""
        author = self._author()
        version = reader.read_state(self.store).version
        self.links[1].fates.extend(fates)
        done = self.editors[1].revert(max(0, version - back), author)
        self.outcome_by_why[author.why] = done
        self.links[1].fates.clear()

    @stateful.rule(at=strategies.integers(0, 2))
    def lands(self, at):
        """Deliver delayed writes whose senders have timed out."""
        self.links[at].land()

    @stateful.rule()
    def asks(self):
        """Send a scan; its response may arrive after those of later ones."""
        self.scans.append(self.store.scan(layout.TABLE, self.watcher.revision))

    @stateful.precondition(lambda self: self.scans)
    @stateful.rule(at=strategies.integers(0, 9))
    def answers(self, at):
        """Deliver any response to a daemon, late or repeatedly."""
        self._answer(self.scans[at % len(self.scans)])

    @stateful.rule()
    def follows(self):
        """Poll and deliver the response at once."""
        self._answer(self.store.scan(layout.TABLE, self.watcher.revision))

    def _answer(self, scan):
        delta = self.watcher.apply_scan(scan, 0)
        if not missing.is_missing(delta) and delta is not None:
            self.follower.apply_delta(delta)

    @stateful.invariant()
    def each_accepted_edit_has_one_entry(self):
        """No edit is lost, applied twice, or applied after its refusal."""
        version = reader.read_state(self.store).version
        entries = audit.read_range(self.store, 0, version)
        assert not missing.is_missing(entries), entries
        whys = [entry.why for entry in entries]
        assert len(whys) == len(set(whys)), "an edit took effect twice"
        for why, done in self.outcome_by_why.items():
            if isinstance(done, edit.Accepted):
                assert entries[done.version - 1].edit == done.edit
            elif done is not None and not isinstance(done, edit.Unknown):
                assert why not in whys, f"{done} took effect"
        self.entries = entries

    @stateful.invariant()
    def the_trail_leads_to_the_table(self):
        """Applying the audit entries in order gives the stored rows."""
        values = {}
        for entry in self.entries:
            for change in entry.changes:
                assert values.get(change.key) == change.before
                values[change.key] = change.after
        stored = reader.read_state(self.store).value_by_key
        assert stored == {k: v for k, v in values.items() if v}

    @stateful.invariant()
    def a_daemon_in_step_holds_the_table(self):
        """A daemon at the latest revision holds the complete table."""
        stored = reader.read_state(self.store)
        if stored.revision == self.follower.revision != rows.NO_ROW:
            assert self.follower.table == reader.read(self.store)


MACHINES = (RacingOperators,)
