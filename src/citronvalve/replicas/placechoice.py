"""Where a plan looks for the replicas that data centres lack."""

from collections.abc import Iterator
from collections.abc import Mapping

from citronvalve.replicas import layout as layouts
from citronvalve.replicas import runner as runners
from citronvalve.routes import enginespec
from citronvalve.routes import modelspec

_FreeByDomain = dict[str, list[runners.Runner]]


def lacking(
    spec: enginespec.EngineSpec,
    layout: layouts.Layout,
    free_by_domain: _FreeByDomain,
    held_for_by_domain: Mapping[str, str],
) -> Iterator[tuple[modelspec.ModelSpec, _FreeByDomain]]:
    """Yield the models that an exchange is for, and those that are lacked.

    :param spec: engine settings of the service.
    :param layout: what there is and what is wanted.
    :param free_by_domain: free runners.
    :param held_for_by_domain: the model for which a domain's free runners
        are held.
    :returns: each with the domains in which it may be formed.
    """
    for domain, name in held_for_by_domain.items():
        if domain in free_by_domain:
            yield spec.model_by_name[name], {domain: free_by_domain[domain]}
    for model, datacentre in layout.short():
        yield (
            model,
            {
                domain: free
                for domain, free in free_by_domain.items()
                if free and free[0].datacentre == datacentre
            },
        )


def surplus(
    layout: layouts.Layout, free_by_domain: _FreeByDomain
) -> Iterator[tuple[modelspec.ModelSpec, _FreeByDomain]]:
    """Yield the models that may be formed beyond what is wanted.

    Small replicas that nobody lacks would take the runners that are left of a
    large one, which one or two more complete, so those are left out.

    :param layout: what there is and what is wanted.
    :param free_by_domain: free runners.
    :returns: each with the domains in which it may be formed.
    """
    for model, datacentre in layout.by_use():
        yield (
            model,
            {
                domain: free
                for domain, free in free_by_domain.items()
                if free
                and free[0].datacentre == datacentre
                and not _is_claimed(layout, free, model)
            },
        )


def _is_claimed(
    layout: layouts.Layout,
    free: list[runners.Runner],
    model: modelspec.ModelSpec,
) -> bool:
    larger = layout.larger_short(model.size, free[0].datacentre)
    return larger is not None and 2 * len(free) >= larger.size
