"""Task that manages the data centre's groups and routes to all groups."""

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

_STEP_INTERVAL: clock.Ms = 1_000

#: Pause after a step that took almost the interval or longer.
_MIN_PAUSE: clock.Ms = 200

#: Bounds concurrent read-backs and orders: an unreachable domain of 32 VMs
#: then costs the timeout of one read-back rather than of 32.
_MAX_CONCURRENT_CALLS = 64


class GroupTask:
    """Leads the groups of this data centre and reads the rows of others.

    :param env: the daemon's environment.
    :param view: receives the routes.
    :param settings: the daemon's settings.
    :param table: the platform's table service.
    :param vms: the platform's list of VMs.
    :ivar leader: leads the groups of this data centre.
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
        self._load_slots = fixedloadslots.FixedLoadSlots(
            declared.Switches().weight_loads
        )
        self._rows_by_datacentre: dict[str, rowcache.RowCache] = {}
        self._log = logbook.Logger("citronvalve.groups")
        pool = eventlet.GreenPool(_MAX_CONCURRENT_CALLS)
        start = f"{env.rng.getrandbits(64):016x}"
        self.leader = leader.Leader(
            dependencies.Dependencies(
                datacentre=settings.datacentre,
                holder=f"{settings.name}/{start}",
                table=table,
                vms=vms,
                engines=httpengines.HttpEngines(pool.imap),
                load_slots=self._load_slots,
                planner=compact.CompactPlanner(),
                clock=env.clock,
                invariants=env.invariants,
                log=self._log.info,
            )
        )

    def run(self) -> None:
        """Poll the VMs and lead the groups forever, in separate tasks.

        A slow platform, which delays leading, then can't make the states of
        serving groups stale.
        """
        eventlet.spawn(self._repeat, self.poll)
        self._repeat(self.lead)

    def _repeat(self, step) -> None:
        while True:
            started_at = self._env.clock.now()
            try:
                step()
            except Exception:  # noqa: H201 - one bad row must not end it
                self._log.exception("groups: step failed")
            # A read-back without an answer must not delay the next one.
            took = self._env.clock.now() - started_at
            eventlet.sleep(
                max(_MIN_PAUSE, _STEP_INTERVAL - took) / clock.SECOND
            )

    def poll(self) -> None:
        """Read back the VMs of this data centre and update the routes."""
        self.leader.poll()
        self._update_routes()

    def lead(self) -> None:
        """Reconcile the groups here and read those of other data centres."""
        table = self._view.table
        if not table:
            return
        self._load_slots.slots = table.switches.weight_loads
        self.leader.update_declared(table)
        self.leader.lead(self._env.clock.now())
        for name in table.datacentre_by_name:
            if name != self._env.datacentre:
                self._read_remote(name)
        self._update_routes()

    def stop(self) -> None:
        """Release the lease for another daemon."""
        self.leader.stop()

    def _read_remote(self, name: str) -> None:
        cache = self._rows_by_datacentre.setdefault(
            name, rowcache.RowCache(name, self._env.invariants)
        )
        table_name = rowcache.groups_table(name)
        after = cache.revision_by_table.get(table_name, 0)
        scan = self._table.scan(table_name, after)
        if isinstance(scan, rows.Scan):
            cache.apply_groups(scan)

    def _update_routes(self) -> None:
        table = self._view.table
        if not table:
            return
        routes = [
            self._local_route(each, table) for each in self.leader.states
        ]
        for cache in self._rows_by_datacentre.values():
            routes += [
                self._remote_route(each, table)
                for each in cache.record_by_group.values()
            ]
        self._view.route_by_group = {
            each.upstream.name: each for each in routes if each
        }

    def _local_route(
        self, group_state: state.GroupState, table: declared.Declared
    ) -> grouproute.GroupRoute | None:
        if group_state.state is not phase.Phase.SERVING:
            return None
        group = table.group_by_name.get(group_state.declared)
        if group is None:
            return None
        upstream = _make_upstream(
            group_state.group, group, group_state.address, group_state.model
        )
        return grouproute.GroupRoute(
            upstream, group_state.fence, group_state.seen_at
        )

    def _remote_route(
        self, record_: record.GroupRecord, table: declared.Declared
    ) -> grouproute.GroupRoute | None:
        # Only daemons of its own data centre read back the group's VMs.
        # Elsewhere the row tells that the group serves, and the load report
        # of rank 0, which daemons gossip, that it reaches all its VMs.
        group = table.group_by_name.get(record_.declared)
        if group is None or record_.phase is not phase.Phase.SERVING:
            return None
        report = self._view.load_by_upstream.get(record_.name)
        seen_at = -1
        if report is not None and not report.vms_missing:
            seen_at = report.measured_at
        address = record_.members[0].address
        upstream = _make_upstream(
            record_.name, group, address, record_.wanted.model
        )
        return grouproute.GroupRoute(upstream, record_.fence, seen_at)


def _make_upstream(
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
