"""Forms of request targets, and their normalisation for the matching of classes."""

import re
import urllib.parse

_PATH_OR_QUERY = re.compile(rb"[/?]")


def normalize_path(target: bytes) -> str:
    """Return the normalised path of ``target``, which classes are matched with.

    Percent escapes are decoded, repeated slashes merged and dot segments removed (RFC
    3986, section 5.2.4), because an upstream may do the same. The target itself is
    forwarded unchanged.

    Example: ``normalize_path(b"/cards/../payments?x=1")`` gives ``/payments``.
    """
    path = split_target(target)[1].split(b"?", 1)[0]
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


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the authority of an absolute-form target, and the origin-form target.

    A target in another form is returned unchanged, with an empty authority.

    Example: ``split_target(b"http://pay:80/look?x=1")`` gives ``b"pay:80"`` and
    ``b"/look?x=1"``.
    """
    scheme, separator, rest = target.partition(b"://")
    if not separator or _PATH_OR_QUERY.search(scheme):
        return b"", target
    found = _PATH_OR_QUERY.search(rest)
    if found is None:
        return rest, b"/"
    authority, origin_target = rest[: found.start()], rest[found.start() :]
    if origin_target.startswith(b"?"):
        origin_target = b"/" + origin_target
    return authority, origin_target
