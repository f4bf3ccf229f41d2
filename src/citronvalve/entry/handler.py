"""What answers one kind of path."""

import abc

from citronvalve.entry import call as calls
from citronvalve.entry import response as responses
from citronvalve.model import declared


class Handler(abc.ABC):
    """Answers the calls of an authenticated team."""

    #: The kind of path in logs and metrics.
    path = ""

    @abc.abstractmethod
    def answer(
        self,
        call: calls.Call,
        team: declared.Team,
        table: declared.Declared,
    ) -> responses.Response:
        """Answer a call.

        :param call: the request.
        :param team: the caller's team.
        :param table: the table in force when it arrived.
        """
