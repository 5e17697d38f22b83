"""Normalisation of request targets, so that equivalent paths match the same class."""

import urllib.parse


def normalize_path(target: bytes) -> str:
    """Return the normalised path of ``target``, which classes are matched with.

    Percent escapes are decoded, repeated slashes merged and dot segments removed (RFC
    3986, section 5.2.4), because an upstream may do the same. The target itself is
    forwarded unchanged.

    Example: ``normalize_path(b"/cards/../payments?x=1")`` gives ``/payments``.
    """
    path = target.split(b"?", 1)[0]
    if not path.startswith(b"/"):
        path = _strip_authority(path)
    if b"%" not in path and b"//" not in path and b"/." not in path:
        return path.decode("latin-1")
    decoded = urllib.parse.unquote_to_bytes(path).decode("latin-1")
    segments: list[str] = []
    parts = decoded.split("/")
    for part in parts:
        if part in ("", "."):
            continue
        if part == "..":
            if segments:
                segments.pop()
            continue
        segments.append(part)
    ends_with_slash = parts[-1] in ("", ".", "..") and bool(segments)
    return "/" + "/".join(segments) + ("/" if ends_with_slash else "")


def _strip_authority(target: bytes) -> bytes:
    """Return the path of an absolute-form target; other forms are returned as is."""
    _, separator, rest = target.partition(b"://")
    if not separator:
        return target
    _, slash, path = rest.partition(b"/")
    return slash + path if slash else b"/"
