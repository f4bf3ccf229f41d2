"""What requests on their way work with."""

from typing import NamedTuple

from citronvalve.forward import crashes as crashes_
from citronvalve.forward import directory as directories
from citronvalve.forward import environment as environments
from citronvalve.forward import links as links_
from citronvalve.forward import placing as placings
from citronvalve.forward import repeats as repeats_
from citronvalve.forward import stalls as stalls_
from citronvalve.policy import upstreamchoice


class Means(NamedTuple):
    """One daemon's parts, shared by all its requests."""

    env: environments.Environment
    directory: directories.Directory
    book: upstreamchoice.LoadTable
    links: links_.Links
    placing: placings.Placing
    repeats: repeats_.Repeats
    stalls: stalls_.Stalls
    crashes: crashes_.Crashes
