"""Base of the metrics classes: a registry with gauges."""

import aioprometheus

_TEXT = ["text/plain"]


class Gauges:
    """Base class of the daemon's metrics.

    :ivar registry: holds all metrics.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._gauge_by_name: dict[str, aioprometheus.Gauge] = {}

    def set_gauge(self, name: str, doc: str, value: float) -> None:
        """Set a gauge, creating it on first use.

        :param name: name with its unit, without the project's prefix.
        :param doc: description of the gauge.
        :param value: value in base units.
        """
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                f"citronvalve_{name}", doc, registry=self.registry
            )
            self._gauge_by_name[name] = gauge
        gauge.set({}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return aioprometheus.render(self.registry, _TEXT)[0]
