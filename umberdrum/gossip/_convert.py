"""Conversion of catalog entries to and from their messages."""

from umberdrum import classes, wire


def encode_entry(entry: classes.CatalogEntry) -> wire.messages.ClassEntry:
    """Return the message of one catalog entry."""
    return wire.messages.ClassEntry(
        name=entry.name,
        revision=entry.revision,
        document=entry.document,
        deleted=entry.is_deleted,
    )


def encode_stub(entry: classes.CatalogEntry) -> wire.messages.ClassEntry:
    """Return the message that only names the revision of an entry."""
    return wire.messages.ClassEntry(
        name=entry.name, revision=entry.revision, is_stub=True
    )


def decode_entry(message: wire.messages.ClassEntry) -> classes.CatalogEntry:
    """Return the catalog entry of a message."""
    return classes.CatalogEntry(
        message.name, message.revision, message.document, message.deleted
    )
