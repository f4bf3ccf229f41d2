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
    memory_tokens: int
    stride: int
    step: float
    step_per_writer: float
    step_per_1k_context: float
    read_per_ms: float
    pairs_per_million: float
    chunk: int
    report_lag: clock.Ms
    loads_per_second: float
    loads_at_once: int
    staged_kept: int
    far_factor: float
    form: clock.Ms
    usual_prompt: int
    usual_answer: int
    model_by_name: dict[str, modelspec.ModelSpec]
