"""Names of the operators' documents in the store."""

# A class name holds no slash, so no class can have such a name.
ZONE_DRAINS_NAME_PREFIX = "zone-drains/"


def build_documents_prefix(store_prefix: str) -> str:
    """Return the prefix of the keys of all documents, which daemons follow."""
    return f"{store_prefix}/classes/"
