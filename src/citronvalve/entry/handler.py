"""Base class of request handlers."""

import abc

from citronvalve.entry import call as calls
from citronvalve.entry import dispatch as dispatches
from citronvalve.entry import environment as environments
from citronvalve.entry import response as responses
from citronvalve.model import declared


class Handler(abc.ABC):
    """Handles the requests of authenticated teams for one kind of path.

    :param env: the daemon's environment.
    :param dispatch: places each attempt on an upstream.
    """

    #: The kind of path in logs and metrics.
    path = ""

    def __init__(
        self,
        env: environments.Environment,
        dispatch: dispatches.Dispatch,
    ) -> None:
        self._env = env
        self._dispatch = dispatch

    @abc.abstractmethod
    def handle(
        self,
        call: calls.Call,
        team: declared.Team,
        table: declared.Declared,
    ) -> responses.Response:
        """Handle a request and return its response.

        :param call: the request.
        :param team: the caller's team.
        :param table: the table in force when the request arrived.
        """
