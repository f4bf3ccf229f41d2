"""Which model the next replica should be of."""

from collections.abc import Mapping

from citronvalve.routes import modelspec


def ranked(
    models: Mapping[str, modelspec.ModelSpec],
    count_by_model: Mapping[str, int],
) -> list[modelspec.ModelSpec]:
    """Return the models, the one in most need of a replica first.

    A model's work is its share times its pace; the need is the work that
    each replica has once there is one more.  Made so that the model whose
    replicas are the busiest grows first, whatever the sizes.

    :param models: by name.
    :param count_by_model: replicas that stand or are being formed.
    """

    def need(model: modelspec.ModelSpec) -> float:
        replicas = count_by_model.get(model.name, 0) + 1
        return model.share * model.pace / replicas

    return sorted(models.values(), key=lambda m: (-need(m), m.name))
