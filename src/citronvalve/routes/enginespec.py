"""Declared performance figures of a service's engines."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.routes import modelspec


class EngineSpec(NamedTuple):
    """Figures of one replica at time factor 1; times are ms or fractions.

    A pass with requests in decode executes ``steps_per_pass`` steps.  A step
    takes ``step_time`` and, for each of these requests,
    ``step_time_per_request`` and ``step_time_per_1k_context`` for each
    1,000 tokens of its context.  Prefill processes ``prefill_tokens_per_ms``
    and takes another ``prefill_time_per_million_pairs`` for a million pairs
    of tokens, at most ``max_prefill_tokens`` a step.  ``report_lag`` is the
    age of an engine's reports.  ``max_staged_models`` stay staged on a host.
    A group over several domains is slower by ``cross_domain_factor``.
    Opening a group takes ``group_open_time``.
    """

    slots: int
    kv_cache_tokens: int
    steps_per_pass: int
    step_time: float
    step_time_per_request: float
    step_time_per_1k_context: float
    prefill_tokens_per_ms: float
    prefill_time_per_million_pairs: float
    max_prefill_tokens: int
    report_lag: clock.Ms
    weight_loads_per_second: float
    max_concurrent_loads: int
    max_staged_models: int
    cross_domain_factor: float
    group_open_time: clock.Ms
    typical_prompt_tokens: int
    typical_response_tokens: int
    model_by_name: dict[str, modelspec.ModelSpec]
