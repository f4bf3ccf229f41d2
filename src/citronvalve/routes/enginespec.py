"""How a service's engines work, as declared."""

from typing import NamedTuple

from citronvalve.model import clock
from citronvalve.routes import modelspec


class EngineSpec(NamedTuple):
    """Figures of one replica at pace 1; times are ms, also in fractions.

    A pass with writers executes ``stride`` steps; a step takes ``step``
    and, for each request that is writing, ``step_per_writer`` and
    ``step_per_1k_context`` for each 1,000 tokens of its context.  Prompts
    are read at ``read_per_ms`` tokens and ``pairs_per_million`` ms for a
    million pairs of tokens, at most ``chunk`` tokens a step.  ``report_lag``
    is the age of what an engine reports.  ``staged_kept`` models stay
    staged on a host.  A group over several domains is ``far_factor`` times
    slower.  Opening a group takes ``form``.
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
