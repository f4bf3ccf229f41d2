"""Encoding of messages: msgpack, compressed if long."""

import zlib

import msgspec

from citronvalve.model import decoding
from citronvalve.model import missing
from citronvalve.peers import messages

#: Bytes from which messages are compressed; below, it costs more CPU than
#: it saves.
_MIN_COMPRESSED_BYTES = 2_000

#: zlib level.  The fastest one compresses a configuration of 40 KB to a fifth
#: in 1 ms.
_COMPRESSION_LEVEL = 1

#: Bytes of a decompressed message; a short one could expand to gigabytes.
_MAX_BYTES = 1_000_000

_PLAIN, _COMPRESSED = b"\0", b"\1"


class MessageCodec:
    """Encodes and decodes messages; the first byte is the encoding."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.Message)

    def encode(self, message: messages.Message) -> bytes:
        """Encode a message.

        :param message: any message.
        """
        data = self._encoder.encode(message)
        if len(data) < _MIN_COMPRESSED_BYTES:
            return _PLAIN + data
        return _COMPRESSED + zlib.compress(data, _COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> messages.Message | missing.Unavailable:
        """Decode a message; return the reason if it is invalid.

        :param data: as received from any sender.
        """
        try:
            body = data[1:]
            if data[:1] == _COMPRESSED:
                decompressor = zlib.decompressobj()
                body = decompressor.decompress(body, _MAX_BYTES)
                if not decompressor.eof:
                    return missing.Unavailable("it is truncated or too long")
            return self._decoder.decode(body)
        except (*decoding.ERRORS, zlib.error) as error:
            return missing.Unavailable(str(error)[:200])
