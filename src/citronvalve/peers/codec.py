"""Encodes and decodes messages; drops invalid ones."""

import collections
from typing import Any
from typing import NamedTuple

import msgspec

from citronvalve.model import decoding
from citronvalve.peers import envelope
from citronvalve.peers import gossip
from citronvalve.peers import invalidmessage
from citronvalve.peers import loanrequest
from citronvalve.peers import loanresponse
from citronvalve.peers import notice
from citronvalve.peers import tablepage
from citronvalve.peers import tablerequest

#: Maximum size of a message.  A full page of the table is 48 KiB and a row
#: at most 16 KiB.  Decoding a larger message, which no daemon sends, would
#: delay the relaying of tokens.
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


class ReceivedMessage(NamedTuple):
    """A valid message and its sender."""

    sender: envelope.Sender
    message: Any


class Codec:
    """Encodes and decodes messages.

    :ivar dropped_by_reason: number of messages dropped.
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

    def decode(
        self, data: bytes
    ) -> ReceivedMessage | invalidmessage.InvalidMessage:
        """Decode a message; count it as dropped if it is invalid.

        :param data: as received.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            return self._drop("too large")
        try:
            decoded = self._envelope_decoder.decode(data)
        except (*decoding.ERRORS, ValueError):
            return self._drop("no envelope")
        if decoded.protocol != envelope.PROTOCOL:
            return self._drop("other protocol version")
        try:
            decoder = self._decoder_by_kind[decoded.kind]
            body = decoder.decode(decoded.body)
        except (*decoding.ERRORS, ValueError):
            return self._drop(f"bad {decoded.kind.name.lower()}")
        return ReceivedMessage(decoded.sender, body)

    def _drop(self, reason: str) -> invalidmessage.InvalidMessage:
        self.dropped_by_reason[reason] += 1
        return invalidmessage.InvalidMessage(reason)
