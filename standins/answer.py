"""The answer that every engine of the stand-in gives to a prompt."""

from collections.abc import Iterator
import random

import xxhash

_WORDS = (
    "stitching even along the gusset and handle, stamp matches the archive, "
    "hardware plated in gold with light wear, lining replaced once, code "
    "4202 for a case of leather, tariff heading confirmed by the edition"
).split()


def tokens(model: str, prompt: str, count: int) -> Iterator[str]:
    """Yield the tokens of an answer; the same prompt gives the same ones.

    :param model: name of the model.
    :param prompt: the text of the last message.
    :param count: how many tokens.
    """
    seed = xxhash.xxh64_intdigest(f"{model}\0{prompt}".encode())
    chance = random.Random(seed)
    for _ in range(count):
        yield chance.choice(_WORDS) + " "


def whole(model: str, prompt: str, count: int) -> str:
    """Return a whole answer.

    :param model: name of the model.
    :param prompt: the text of the last message.
    :param count: how many tokens.
    """
    return "".join(tokens(model, prompt, count))
