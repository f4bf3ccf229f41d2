"""Prints what holds and counts what does not."""


class Check:
    """The verdicts of one run.

    :ivar wrong: how many did not hold.
    """

    def __init__(self) -> None:
        self.wrong = 0

    def that(self, right: bool, what: str, detail: object = "") -> None:
        """Print one verdict.

        :param right: whether it holds.
        :param what: the statement.
        :param detail: printed when it does not hold.
        """
        self.wrong += not right
        print(f"{'right' if right else 'WRONG'}: {what}", flush=True)
        if not right and detail:
            print(f"    {detail}", flush=True)
