"""Latency predictions from an engine's declared figures."""

from typing import NamedTuple

from citronvalve.routes import enginespec

_MILLION = 1_000_000


class Forecast(NamedTuple):
    """Times in ms: to the first event, between events, to the end."""

    first: float
    gap: float
    whole: float


class EnginePace:
    """Predicts the latency of one model of a service.

    A pass of the engine prefills waiting prompts in chunks, and then
    executes a number of steps for all requests that are decoding.

    :param spec: the engine's declared figures.
    :param pace: the model's factor on all times.
    """

    def __init__(self, spec: enginespec.EngineSpec, pace: float) -> None:
        self._spec = spec
        self._pace = pace
        self._gap_by_decoding: dict[int, float] = {}
        self._last_prompt = 0
        self._last_prefill_time = 0.0

    @property
    def slots(self) -> int:
        """Return how many requests a replica runs at once."""
        return self._spec.slots

    def step_time(self, decoding: int) -> float:
        """Return the duration of one step in ms.

        :param decoding: number of requests that are decoding.
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
        """Return the time to prefill a prompt in ms.

        :param prompt: length in tokens.
        """
        spec = self._spec
        pairs = prompt * prompt / 2 / _MILLION
        return self._pace * (
            prompt / spec.prefill_tokens_per_ms
            + spec.prefill_time_per_million_pairs * pairs
        )

    def event_gap(self, decoding: int) -> float:
        """Return the time between two events in ms, prefill included.

        Each request that ends is followed by one that is prefilled, which
        adds one typical prefill per request, spread over its passes.

        :param decoding: number of requests that are decoding.
        """
        spec = self._spec
        steps = spec.steps_per_pass * self.step_time(decoding)
        passes = max(1.0, spec.typical_response_tokens / spec.steps_per_pass)
        return steps + decoding / passes * self.prefill_time(
            spec.typical_prompt_tokens
        )

    def typical_forecast(self, load: float) -> Forecast:
        """Predict the latency of a typical request that is sent now.

        :param load: requests at the replica before it, running or queued.
        """
        spec = self._spec
        return self.forecast(
            load, spec.typical_prompt_tokens, spec.typical_response_tokens
        )

    def forecast(self, load: float, prompt: int, answer: int) -> Forecast:
        """Predict the latency of a request that is sent now.

        :param load: requests at the replica before it, running or queued.
        :param prompt: length of its prompt in tokens.
        :param answer: expected length of the answer in tokens.
        """
        spec = self._spec
        running = min(round(load) + 1, spec.slots)
        gap = self._gap_by_decoding.get(running)
        if gap is None:
            gap = self._gap_by_decoding[running] = self.event_gap(running)
        if prompt != self._last_prompt:
            # The forecasts of one choice have the same prompt.
            self._last_prompt = prompt
            self._last_prefill_time = self.prefill_time(prompt)
        passes = max(1.0, spec.typical_response_tokens / spec.steps_per_pass)
        # Each slot becomes free once per typical answer.
        free_interval = gap * passes / spec.slots
        queue = max(0.0, load + 1 - spec.slots)
        # It arrives in the middle of a pass, is prefilled, and gets its first
        # event from the next pass.
        first = (
            0.5 * gap + self._last_prefill_time + gap + queue * free_interval
        )
        events = max(1.0, answer / spec.steps_per_pass)
        return Forecast(first, gap, first + gap * (events - 1))
