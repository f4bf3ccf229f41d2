"""What decoding a value of another program may raise."""

import msgspec

#: A value may have another form, be nested too deeply, or not be UTF-8.
ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)
