"""How long an engine takes, worked out from its declared figures."""

from typing import NamedTuple

from citronvalve.routes import enginespec

_MILLION = 1_000_000


class Forecast(NamedTuple):
    """Spans in ms: to the first event, between events, to the end."""

    first: float
    gap: float
    whole: float


class EnginePace:
    """Predicts for one model of a service.

    The figures are the engine's own: a pass reads waiting prompts in
    pieces and then executes some steps for all that are writing.

    :param spec: the engine's declared figures.
    :param pace: the model's factor on all times.
    """

    def __init__(self, spec: enginespec.EngineSpec, pace: float) -> None:
        self._spec = spec
        self._pace = pace

    def step_time(self, decoding: int) -> float:
        """Return ms of one step.

        :param writers: requests that are writing.
        """
        spec = self._spec
        context = (
            spec.typical_prompt_tokens + spec.typical_response_tokens / 2
        ) / 1_000
        each = (
            spec.step_time_per_request
            + spec.step_time_per_1k_context * context
        )
        return self._pace * (spec.step_time + each * decoding)

    def prefill_time(self, prompt: int) -> float:
        """Return ms to read a prompt.

        :param prompt: tokens.
        """
        spec = self._spec
        pairs = prompt * prompt / 2 / _MILLION
        return self._pace * (
            prompt / spec.prefill_tokens_per_ms
            + spec.prefill_time_per_million_pairs * pairs
        )

    def event_gap(self, decoding: int) -> float:
        """Return ms between two events, with the usual prompts between.

        Each request that ends is followed by one that is read, so of each
        pass a part goes to reading: one usual prompt a request's passes.

        :param writers: requests that are writing.
        """
        spec = self._spec
        steps = spec.steps_per_pass * self.step_time(decoding)
        passes = max(1.0, spec.typical_response_tokens / spec.steps_per_pass)
        return steps + decoding / passes * self.prefill_time(
            spec.typical_prompt_tokens
        )

    def forecast(self, load: float, prompt: int, answer: int) -> Forecast:
        """Predict one request that is sent now.

        :param load: requests at the replica before it, running or waiting.
        :param prompt: its tokens.
        :param answer: tokens that it is expected to write.
        """
        spec = self._spec
        running = min(round(load) + 1, spec.slots)
        gap = self.event_gap(running)
        passes = max(1.0, spec.typical_response_tokens / spec.steps_per_pass)
        # Each place becomes free once in a usual answer's time.
        free_interval = gap * passes / spec.slots
        queue = max(0.0, load + 1 - spec.slots)
        # It comes in the middle of a pass, is read, and written by the next.
        first = (
            0.5 * gap + self.prefill_time(prompt) + gap + queue * free_interval
        )
        events = max(1.0, answer / spec.steps_per_pass)
        return Forecast(first, gap, first + gap * (events - 1))
