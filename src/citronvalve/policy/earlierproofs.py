"""Proofs of contents that have not been lost with an upstream yet."""

from citronvalve.model import clock
from citronvalve.policy import crashevidence

#: Time before the first loss of a content in which its proofs count.
_RETENTION: clock.Ms = 30_000

#: Contents of which proofs are kept, those with the newest ones.
_MAX_CONTENTS = 4_096

_ProofByModel = dict[int, crashevidence.Proof]


class EarlierProofs:
    """Keeps the last proofs of contents that are not accused.

    What was answered until shortly before it was lost is less likely to be
    the cause than what was never answered.
    """

    def __init__(self) -> None:
        self._proof_by_model_by_content: dict[int, _ProofByModel] = {}

    def __len__(self) -> int:
        return len(self._proof_by_model_by_content)

    def add(self, proof: crashevidence.Proof) -> None:
        """Keep a proof; it replaces the last one of its content and model.

        :param proof: of a content that is not accused.
        """
        kept = self._proof_by_model_by_content
        proof_by_model = kept.pop(proof.content, {})
        proof_by_model[proof.model] = proof
        kept[proof.content] = proof_by_model
        if len(kept) > _MAX_CONTENTS:
            del kept[next(iter(kept))]

    def take(
        self, content: int, lost_at: clock.Ms
    ) -> list[crashevidence.Proof]:
        """Return the proofs of a content that is lost, and drop them.

        :param content: its digest.
        :param lost_at: monotonic ms.
        """
        proof_by_model = self._proof_by_model_by_content.pop(content, {})
        return [
            proof
            for proof in proof_by_model.values()
            if lost_at - proof.at < _RETENTION
        ]
