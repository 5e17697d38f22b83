"""Messages between daemons, generated from ``umberdrum.proto``.

The generated module is committed, so that a build needs no generator. Encode with
``SerializeToString`` and decode with ``FromString``; both live in the protobuf library.
"""

from umberdrum.wire import umberdrum_pb2 as messages

__all__ = ["messages"]
