"""A decision log for tests that look at something else."""

from citronvalve.model import decisionlog


class QuietLog(decisionlog.DecisionLog):
    """Drops every line."""

    def note(self, event, request="", **inputs):
        pass

    def change(self, event, **inputs):
        pass
