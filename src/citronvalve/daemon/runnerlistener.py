"""Updates the directory's upstreams from the platform's list."""

from collections.abc import Callable

from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.model import clock
from citronvalve.model import missing
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import runner as runners
from citronvalve.storage import rows
from citronvalve.storage import tablelistener

#: Entries that expire during an outage of the store reappear within two
#: seconds of its end; those missing after that are gone.
_REAPPEAR_TIME: clock.Ms = 2_300

#: Bounds how long a missing entry is kept: a runner must get no requests two
#: seconds after the store has removed it.
_MAX_RETENTION: clock.Ms = 1_500

#: Characters of a reason that are logged.
_MAX_REASON = 200

Decode = Callable[[rows.Row], runners.Runner | missing.Missing]


class RunnerListener(tablelistener.TableListener):
    """Applies each change of the list to the directory.

    :param env: the daemon's environment.
    :param directory: receives the upstreams.
    :param loads: the load of each upstream.
    :param decode: decodes an entry, or returns why it names no usable
        upstream.
    :ivar on_start: called with id and start id of each start that is listed.
    :ivar on_gone: called with the id of an upstream that left the list.
    :ivar on_restart: called with the id of an upstream that has started again.
    :ivar store_failed_at: returns when a call to the store last failed, or
        None.
    :ivar schedule: calls a function after a delay in ms.
    """

    def __init__(
        self,
        env: environments.Environment,
        directory: directories.Directory,
        loads: upstreamchoice.LoadTable,
        decode: Decode,
    ) -> None:
        self._env = env
        self._directory = directory
        self._loads = loads
        self._decode = decode
        self._missing_since: dict[str, clock.Ms] = {}
        self._left_out: set[str] = set()
        self.on_start: Callable[[str, int], None] = lambda *_: None
        self.on_gone: Callable[[str], None] = lambda _: None
        self.on_restart: Callable[[str], None] = lambda _: None
        self.store_failed_at: Callable[[], clock.Ms | None] = lambda: None
        self.schedule: Callable[[clock.Ms, Callable[[], None]], None] = (
            lambda *_: None
        )

    def replace_all(self, found: tuple[rows.Row, ...]) -> None:
        listed = {row.key for row in found}
        self.apply_changes(
            found, tuple(self._directory.runner_by_id.keys() - listed)
        )
        self._left_out &= listed
        self._directory.list_known = True

    def apply_changes(
        self, found: tuple[rows.Row, ...], gone: tuple[str, ...]
    ) -> None:
        for row in found:
            if self._is_known(row):
                self._missing_since.pop(row.key, None)
                continue
            try:
                self._apply(row)
            except Exception as error:  # noqa: H201 - the others are applied
                self._leave_out(row.key, f"{type(error).__name__}: {error}")
        self._left_out -= set(gone)
        for key in gone:
            if key in self._directory.runner_by_id:
                now = self._env.clock.now()
                self._missing_since.setdefault(key, now)
                self._env.log.change(
                    "runner missing",
                    runner=key,
                    store_failed_at=self.store_failed_at(),
                )
                # The next read may be late or fail.
                self.schedule(_MAX_RETENTION, self.drop_missing)
        self.drop_missing()

    def confirm(self, at: clock.Ms) -> None:
        self.drop_missing()

    def drop_missing(self) -> None:
        """Remove missing entries, unless an outage may be the cause."""
        now = self._env.clock.now()
        failed_at = self.store_failed_at()
        for key, since in list(self._missing_since.items()):
            may_reappear = (
                failed_at is not None and since - failed_at < _REAPPEAR_TIME
            )
            if may_reappear and now - since < _MAX_RETENTION:
                continue
            del self._missing_since[key]
            self._remove(key, "left the list")
            self.on_gone(key)

    def _apply(self, row: rows.Row) -> None:
        runner = self._decode(row)
        if isinstance(runner, missing.Missing):
            self._leave_out(row.key, runner.reason)
            return
        self._left_out.discard(row.key)
        self._missing_since.pop(row.key, None)
        self._update(runner)

    def _leave_out(self, key: str, why: str) -> None:
        """Use an entry no longer; log it once until it changes back."""
        if key not in self._left_out:
            self._left_out.add(key)
            self._env.metrics.record_left_out("runners")
            self._env.log.change(
                "entry left out", key=key, why=why[:_MAX_REASON]
            )
        self._remove(key, "unreadable entry")

    def _is_known(self, row: rows.Row) -> bool:
        known = self._directory.runner_by_id.get(row.key)
        return known is not None and known.list_version >= row.version

    def _update(self, runner: runners.Runner) -> None:
        previous = self._directory.update_runner(runner)
        if (
            previous is not None
            and previous.list_version >= runner.list_version
        ):
            return
        self._directory.record_membership(
            previous, runner, self._env.clock.now()
        )
        if previous is None or previous.start_id != runner.start_id:
            self.on_start(runner.id, runner.start_id)
        if previous is not None and previous.start_id != runner.start_id:
            self.on_restart(runner.id)
        group = runner.membership
        previous_group = previous.membership if previous else None
        if (
            previous is None
            or previous.start_id != runner.start_id
            or group != previous_group
        ):
            # Earlier failures say nothing about another start or group.
            load = self._loads.of(runner.id)
            if runner.is_open_head or previous is None:
                load.reset_failures()
            self._env.log.change(
                "runner changed",
                runner=runner.id,
                service=runner.service,
                group=group.key.name if group else "",
                rank=group.rank if group else 0,
                phase=group.phase if group else "",
                leaving=runner.leaving,
                version=runner.list_version,
            )
        elif runner.leaving and not previous.leaving:
            self._env.log.change(
                "runner leaving", runner=runner.id, version=runner.list_version
            )

    def _remove(self, key: str, why: str) -> None:
        if self._directory.remove(key) is not None:
            self._env.log.change("runner gone", runner=key, why=why)
