"""Conversion between catalog entries and their protobuf messages."""

import functools
import zlib

import expression

from umberdrum import classes, errors, wire

# For shorter documents, the compression header costs more than compression saves.
MIN_COMPRESSED_BYTES = 400
# Store values hold at most 1 MB, so a longer document can't come from the store.
MAX_DOCUMENT_BYTES = 1 << 21
N_CACHED_COMPRESSED_DOCUMENTS = 8


def encode_entry(entry: classes.CatalogEntry) -> wire.messages.ClassEntry:
    """Convert a catalog entry to its message; a long document is compressed."""
    document = entry.document
    is_compressed = len(document) >= MIN_COMPRESSED_BYTES
    if is_compressed:
        document = _compress(document)
    return wire.messages.ClassEntry(
        name=entry.name,
        revision=entry.revision,
        document=document,
        deleted=entry.is_deleted,
        is_compressed=is_compressed,
        era=entry.era,
        version=entry.version,
    )


def encode_stub(entry: classes.CatalogEntry) -> wire.messages.ClassEntry:
    """Return a message with the name and position of an entry but no document."""
    return wire.messages.ClassEntry(
        name=entry.name,
        revision=entry.revision,
        is_stub=True,
        era=entry.era,
        version=entry.version,
    )


def decode_position(message: wire.messages.ClassEntry) -> classes.EntryPosition:
    """Return the position of an entry or a stub."""
    return classes.EntryPosition(message.version, message.era, message.revision)


def decode_entry(
    message: wire.messages.ClassEntry,
) -> expression.Result[classes.CatalogEntry, errors.Failure]:
    """Parse the entry of a message, or return why its document is unreadable."""
    document = message.document
    if message.is_compressed:
        decompressor = zlib.decompressobj()
        try:
            document = decompressor.decompress(document, MAX_DOCUMENT_BYTES)
        except zlib.error as fault:
            return _reject(message, str(fault))
        if not decompressor.eof:
            return _reject(message, "the compressed data is truncated or too long")
    return expression.Ok(
        classes.CatalogEntry(
            message.name,
            message.revision,
            document,
            message.deleted,
            message.era,
            message.version,
        )
    )


@functools.lru_cache(maxsize=N_CACHED_COMPRESSED_DOCUMENTS)
def _compress(document: bytes) -> bytes:
    """Compress a document; cached, because many peers fetch the same one in turn."""
    return zlib.compress(document)


def _reject(
    message: wire.messages.ClassEntry, reason: str
) -> expression.Result[classes.CatalogEntry, errors.Failure]:
    detail = f"document {message.name!r} at revision {message.revision}: {reason}"
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_CLASS, detail))
