"""Turns messages into bytes and back; what does not fit is junk."""

import collections
from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.peers import envelope
from citronvalve.peers import gossip
from citronvalve.peers import invalidmessage
from citronvalve.peers import loanrequest
from citronvalve.peers import loanresponse
from citronvalve.peers import notice
from citronvalve.peers import tablepage
from citronvalve.peers import tablerequest

#: Bytes of the largest message.  A full page of the table is 48 KiB and a
#: row at most 16 KiB; anything larger is not ours, and would hold up the
#: relaying of tokens while it is decoded.
MAX_MESSAGE_BYTES = 96 * 1_024

_TYPE_BY_KIND = {
    envelope.Kind.GOSSIP: gossip.Gossip,
    envelope.Kind.TABLE_ASK: tablerequest.TableRequest,
    envelope.Kind.TABLE_PAGE: tablepage.TablePage,
    envelope.Kind.NOTICE: notice.DeathNotice,
    envelope.Kind.ASK: loanrequest.LoanRequest,
    envelope.Kind.LENT: loanresponse.LoanResponse,
}

_KIND_BY_TYPE = {type_: kind for kind, type_ in _TYPE_BY_KIND.items()}


class Received(NamedTuple):
    """A good message and who sent it."""

    sender: envelope.Sender
    message: Any


class Codec:
    """Encodes and decodes, and counts what it drops by reason.

    :ivar junk_by_reason: how many messages were dropped.
    """

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(envelope.Envelope)
        self._decoder_by_kind = {
            kind: msgspec.msgpack.Decoder(type_)
            for kind, type_ in _TYPE_BY_KIND.items()
        }
        self.dropped_by_reason: collections.Counter[str] = (
            collections.Counter()
        )

    def encode(self, sender: envelope.Sender, message: Any) -> bytes:
        """Encode a message.

        :param sender: this daemon.
        :param message: one of the message types.
        """
        return self._encoder.encode(
            envelope.Envelope(
                envelope.PROTOCOL,
                _KIND_BY_TYPE[type(message)],
                sender,
                msgspec.Raw(self._encoder.encode(message)),
            )
        )

    def decode(self, data: bytes) -> Received | invalidmessage.InvalidMessage:
        """Decode a message, whoever sent it.

        :param data: as received.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            return self._drop("too large")
        try:
            opened = self._envelope_decoder.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return self._drop("no envelope")
        if opened.protocol != envelope.PROTOCOL:
            return self._drop("other protocol version")
        try:
            decoder = self._decoder_by_kind[opened.kind]
            body = decoder.decode(opened.body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return self._drop(f"bad {opened.kind.name.lower()}")
        return Received(opened.sender, body)

    def _drop(self, reason: str) -> invalidmessage.InvalidMessage:
        self.dropped_by_reason[reason] += 1
        return invalidmessage.InvalidMessage(reason)
