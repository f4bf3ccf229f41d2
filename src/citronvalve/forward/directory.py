"""What a daemon believes of routes and upstreams at this moment."""

from citronvalve.model import clock
from citronvalve.policy import upstreamchoice
from citronvalve.replicas import runner as runners
from citronvalve.routes import catalogue as catalogues

#: One way, in ms, to another data centre where nothing is declared.
_REMOTE_LATENCY = 1.0


class Directory:
    """Catalogue and upstreams, written by the watchers, read by handlers.

    :param datacentre: where the daemon stands.
    :ivar catalogue: the newest configuration, or None before the first.
    :ivar runner_by_id: every upstream of the platform's list.
    :ivar known: whether the list has been read.
    :ivar out: data centres that get no new work.
    :ivar confirmed_at: when the catalogue was last known to be the newest.
    """

    def __init__(self, datacentre: str) -> None:
        self._datacentre = datacentre
        self.catalogue: catalogues.Catalogue | None = None
        self.runner_by_id: dict[str, runners.Runner] = {}
        self.list_known = False
        self.datacentres_out: frozenset[str] = frozenset()
        self.confirmed_at: clock.Ms = 0
        self._open_heads_by_model: dict[
            tuple[str, str], list[runners.Runner]
        ] = {}
        self._upstreams_by_service: dict[str, list[runners.Runner]] = {}

    @property
    def ready(self) -> bool:
        """Tell whether requests can be answered from what is known."""
        return self.catalogue is not None and self.list_known

    def adopt(self, catalogue: catalogues.Catalogue) -> bool:
        """Put a version in force unless a newer one is.

        A version that came late would otherwise bring back a route or a
        key that operators have taken away.

        :param catalogue: as read.
        """
        current = self.catalogue
        if current is not None and catalogue.version <= current.version:
            return False
        self.catalogue = catalogue
        return True

    def update_runner(self, runner: runners.Runner) -> runners.Runner | None:
        """Take in what the list says of an upstream; return what it said.

        :param runner: ignored if the list said something newer before.
        """
        previous = self.runner_by_id.get(runner.id)
        if (
            previous is not None
            and previous.list_version >= runner.list_version
        ):
            return previous
        self.runner_by_id[runner.id] = runner
        self._rebuild_index()
        return previous

    def remove(self, upstream: str) -> runners.Runner | None:
        """Forget an upstream that left the list.

        :param upstream: its id.
        """
        previous = self.runner_by_id.pop(upstream, None)
        self._rebuild_index()
        return previous

    def set_datacentres_out(self, datacentres: frozenset[str]) -> None:
        """Say which data centres get no new work.

        :param datacentres: their names.
        """
        self.datacentres_out = datacentres
        self._rebuild_index()

    def open_heads(
        self, service: str, model: str
    ) -> list[upstreamchoice.Candidate]:
        """Return the open replicas of a model.

        :param service: its service.
        :param model: the model.
        """
        return [
            self._candidate(r)
            for r in self._open_heads_by_model.get((service, model), ())
        ]

    def plain_upstreams(self, service: str) -> list[upstreamchoice.Candidate]:
        """Return the upstreams of a plain service.

        :param service: its name.
        """
        return [
            self._candidate(r)
            for r in self._upstreams_by_service.get(service, ())
        ]

    def _candidate(self, runner: runners.Runner) -> upstreamchoice.Candidate:
        is_local = runner.datacentre == self._datacentre
        return upstreamchoice.Candidate(
            runner.id,
            runner.slots,
            0.0 if is_local else _REMOTE_LATENCY,
            is_local,
        )

    def _rebuild_index(self) -> None:
        heads: dict[tuple[str, str], list[runners.Runner]] = {}
        plain: dict[str, list[runners.Runner]] = {}
        for runner in self.runner_by_id.values():
            if runner.leaving or runner.datacentre in self.datacentres_out:
                continue
            if runner.is_open_head:
                place = runner.service, runner.membership.key.model
                heads.setdefault(place, []).append(runner)
            plain.setdefault(runner.service, []).append(runner)
        self._open_heads_by_model, self._upstreams_by_service = heads, plain
