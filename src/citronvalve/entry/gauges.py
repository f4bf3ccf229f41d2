"""Base of the metrics classes: a registry with gauges."""

from collections.abc import Mapping

import aioprometheus

_TEXT = ["text/plain"]
_NO_LABELS: Mapping[str, str] = {}


class Gauges:
    """Base class of the daemon's metrics.

    :ivar registry: holds all metrics.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._gauge_by_name: dict[str, aioprometheus.Gauge] = {}

    def set_gauge(
        self,
        name: str,
        doc: str,
        value: float,
        labels: Mapping[str, str] = _NO_LABELS,
    ) -> None:
        """Set a gauge, creating it on first use.

        :param name: name with its unit, without the project's prefix.
        :param doc: description of the gauge.
        :param value: value in base units.
        :param labels: from a bounded set.
        """
        self.declare_gauge(name, doc).set(dict(labels), value)

    def declare_gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        """Return a gauge; it is shown even before it has a value.

        :param name: name with its unit, without the project's prefix.
        :param doc: description of the gauge.
        """
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                f"citronvalve_{name}", doc, registry=self.registry
            )
            self._gauge_by_name[name] = gauge
        return gauge

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return aioprometheus.render(self.registry, _TEXT)[0]
