"""Proofs that an attempt did not run its request."""

import enum


class Proof(enum.StrEnum):
    """Why an upstream has not run a request and never will.

    A request that may run once only is sent to another upstream with a proof
    alone.
    """

    #: The list no longer has the upstream; nothing was sent.
    UNLISTED = "unlisted"
    #: The upstream could not be connected to.
    UNREACHED = "unreached"
    #: No link leads to the upstream.
    NO_LINK = "no link"
    #: The upstream wants no request from the daemons that could relay.
    RESTING = "resting"
    #: The deadline passed before anything was sent.
    EXPIRED = "expired"
    #: The relaying daemon refused the request before it passed anything on.
    RELAY_REFUSED = "relay refused"
    #: A part of the head was never handed to the kernel.
    UNSENT = "unsent"
    #: The upstream answered that it has not run the request.
    REJECTED = "rejected"
