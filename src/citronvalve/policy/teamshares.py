"""Max-min shares of a replica pool by team."""

from collections.abc import Collection
from collections.abc import Mapping
import math

from citronvalve.policy import pooluse


def level(
    use_by_team: Mapping[str, float],
    weight_by_team: Mapping[str, float],
    room: float,
    greedy: Collection[str] = (),
) -> float:
    """Return the use at weight 1 up to which teams keep what they use.

    Teams below the level leave the rest of their part to those above, which
    share it by weight.

    :param use_by_team: requests in progress.
    :param weight_by_team: above 0; 1 for a team that it lacks.
    :param room: requests that the pool serves at once.
    :param greedy: teams that take whatever they get.
    :returns: infinity if the room suffices for all.
    """
    left = room
    weight = 0.0
    uses = []
    for team, use in use_by_team.items():
        if team == pooluse.REST:
            left -= use
            continue
        team_weight = weight_by_team.get(team, 1.0)
        weight += team_weight
        normalized = math.inf if team in greedy else use / team_weight
        uses.append((normalized, use, team_weight))
    uses.sort()
    for normalized, use, team_weight in uses:
        if normalized * weight > left:
            return max(0.0, left) / weight
        left -= use
        weight -= team_weight
    return math.inf
