"""Conversion of catalog entries to and from their messages."""

import functools
import zlib

import expression

from umberdrum import classes, errors, wire

# Below this, the head of a compressed document outweighs what it saves.
MIN_COMPRESSED_BYTES = 400
# Values of the store hold up to a megabyte; a longer document is none of its.
MAX_DOCUMENT_BYTES = 1 << 21
COMPRESSED_CACHE_SIZE = 8


def encode_entry(entry: classes.CatalogEntry) -> wire.messages.ClassEntry:
    """Return the message of one catalog entry; a long document is compressed."""
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
    )


def encode_stub(entry: classes.CatalogEntry) -> wire.messages.ClassEntry:
    """Return the message that only names the revision of an entry."""
    return wire.messages.ClassEntry(
        name=entry.name, revision=entry.revision, is_stub=True
    )


def decode_entry(
    message: wire.messages.ClassEntry,
) -> expression.Result[classes.CatalogEntry, errors.Failure]:
    """Return the catalog entry of a message, or why its document can't be read."""
    document = message.document
    if message.is_compressed:
        decompressor = zlib.decompressobj()
        try:
            document = decompressor.decompress(document, MAX_DOCUMENT_BYTES)
        except zlib.error as fault:
            return _refuse(message, str(fault))
        if not decompressor.eof:
            return _refuse(message, "it is cut short or too long")
    return expression.Ok(
        classes.CatalogEntry(message.name, message.revision, document, message.deleted)
    )


@functools.lru_cache(maxsize=COMPRESSED_CACHE_SIZE)
def _compress(document: bytes) -> bytes:
    """Return the compressed document; many peers ask for the same one in turn."""
    return zlib.compress(document)


def _refuse(
    message: wire.messages.ClassEntry, reason: str
) -> expression.Result[classes.CatalogEntry, errors.Failure]:
    detail = f"document {message.name!r} at revision {message.revision}: {reason}"
    return expression.Error(errors.fail(errors.ErrorKind.INVALID_CLASS, detail))
