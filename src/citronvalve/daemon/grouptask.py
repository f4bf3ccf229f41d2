"""Keeps the replica groups of the data centre, and routes to all groups."""

import eventlet
import logbook

from citronvalve.daemon import settings as settings_
from citronvalve.entry import environment as environments
from citronvalve.entry import grouproute
from citronvalve.entry import view as views
from citronvalve.groups import compact
from citronvalve.groups import dependencies
from citronvalve.groups import fixedloadslots
from citronvalve.groups import httpengines
from citronvalve.groups import leader
from citronvalve.groups import phase
from citronvalve.groups import record
from citronvalve.groups import rowcache
from citronvalve.groups import state
from citronvalve.model import clock
from citronvalve.model import declared
from citronvalve.storage import rows
from citronvalve.storage import tableservice
from citronvalve.storage import vmlist

_EVERY: clock.Ms = 1_000

#: Pause after a step that took as long or longer.
_LEAST: clock.Ms = 200

#: Read-backs and orders side by side: a dark domain of 32 VMs costs one
#: timeout of a read-back, not one after the other.
_SIDE_BY_SIDE = 64


class GroupTask:
    """Runs a leader of the own data centre, and reads the others' rows.

    :param env: the daemon's environment.
    :param view: takes the routes.
    :param settings: the daemon's settings.
    :param table: the platform's table service.
    :param vms: the platform's list.
    """

    def __init__(
        self,
        env: environments.Environment,
        view: views.View,
        settings: settings_.Settings,
        table: tableservice.TableService,
        vms: vmlist.VmList,
    ) -> None:
        self._env = env
        self._view = view
        self._table = table
        self._loads = fixedloadslots.FixedLoadSlots(
            declared.Switches().weight_loads
        )
        self._far_by_name: dict[str, rowcache.RowCache] = {}
        self._log = logbook.Logger("citronvalve.groups")
        pool = eventlet.GreenPool(_SIDE_BY_SIDE)
        start = f"{env.rng.getrandbits(64):016x}"
        self.leader = leader.Leader(
            dependencies.Dependencies(
                datacentre=settings.datacentre,
                holder=f"{settings.name}/{start}",
                table=table,
                vms=vms,
                engines=httpengines.HttpEngines(pool.imap),
                load_slots=self._loads,
                planner=compact.CompactPlanner(),
                clock=env.clock,
                invariants=env.invariants,
                log=self._log.info,
            )
        )

    def run(self) -> None:
        """Watch and lead for ever, each at its own pace.

        The two are apart so that a slow platform, which holds up the
        leading, does not let the states of serving groups go stale.
        """
        eventlet.spawn(self._repeat, self.watch)
        self._repeat(self.lead)

    def _repeat(self, act) -> None:
        while True:
            began = self._env.clock.now()
            try:
                act()
            except Exception:  # noqa: H201 - one bad row must not end it
                self._log.exception("groups: step failed")
            # A read-back without an answer must not delay the next one.
            took = self._env.clock.now() - began
            eventlet.sleep(max(_LEAST, _EVERY - took) / clock.SECOND)

    def watch(self) -> None:
        """Read back the VMs here, and renew the routes."""
        self.leader.poll()
        self._route()

    def lead(self) -> None:
        """Do what is due here, and read the groups of elsewhere."""
        table = self._view.table
        if not table:
            return
        self._loads.slots = table.switches.weight_loads
        self.leader.update_declared(table)
        self.leader.lead(self._env.clock.now())
        for name in table.datacentre_by_name:
            if name != self._env.datacentre:
                self._read_far(name)
        self._route()

    def stop(self) -> None:
        """Free the lease for another daemon."""
        self.leader.stop()

    def _read_far(self, name: str) -> None:
        known = self._far_by_name.setdefault(
            name, rowcache.RowCache(name, self._env.invariants)
        )
        place = rowcache.groups_table(name)
        after = known.revision_by_table.get(place, 0)
        scan = self._table.scan(place, after)
        if isinstance(scan, rows.Scan):
            known.apply_groups(scan)

    def _route(self) -> None:
        table = self._view.table
        if not table:
            return
        routes = [self._near(each, table) for each in self.leader.states]
        for known in self._far_by_name.values():
            routes += [
                self._far(each, table)
                for each in known.record_by_group.values()
            ]
        self._view.route_by_group = {
            each.upstream.name: each for each in routes if each
        }

    def _near(
        self, each: state.GroupState, table: declared.Declared
    ) -> grouproute.GroupRoute | None:
        if each.state is not phase.Phase.SERVING:
            return None
        group = table.group_by_name.get(each.declared)
        if group is None:
            return None
        made = _upstream(each.group, group, each.address, each.model)
        return grouproute.GroupRoute(made, each.fence, each.seen_at)

    def _far(
        self, each: record.GroupRecord, table: declared.Declared
    ) -> grouproute.GroupRoute | None:
        # Its VMs are read back where they are.  Here the row says that it
        # serves, and the report of rank 0, which spreads between daemons,
        # that it hears from all its VMs now.
        group = table.group_by_name.get(each.declared)
        if group is None or each.phase is not phase.Phase.SERVING:
            return None
        report = self._view.load_by_upstream.get(each.name)
        seen_at = -1
        if report is not None and not report.vms_missing:
            seen_at = report.measured_at
        address = each.members[0].address
        made = _upstream(each.name, group, address, each.wanted.model)
        return grouproute.GroupRoute(made, each.fence, seen_at)


def _upstream(
    name: str, group: declared.Group, address: str, model: str
) -> declared.Upstream:
    return declared.Upstream(
        name=name,
        datacentre=group.datacentre,
        address=address,
        kind=declared.UpstreamKind.ENGINE,
        serves=(model,),
        slots=group.slots,
        cold_slots=group.cold_slots,
        ramp=group.ramp,
        state=group.state,
    )
