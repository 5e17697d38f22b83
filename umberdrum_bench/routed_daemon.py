"""Daemon with the project's own protocols and a route table in place of classes.

Run as ``python -m umberdrum_bench.routed_daemon --settings FILE``.
"""

import sys
from typing import TYPE_CHECKING

from umberdrum import startup

if TYPE_CHECKING:
    from umberdrum import daemon


def build_integration() -> "daemon.Integration":
    """Return the own integration, with the routes of ``route_document``.

    The imports are late, so that sockets are bound before them.
    """
    from umberdrum import configuration, daemon
    from umberdrum_bench import route_document

    return daemon.build_own_integration()._replace(
        routes=daemon.RoutesDocument(
            configuration.build_documents_prefix(route_document.STORE_PREFIX),
            route_document.DOCUMENT_NAME,
            route_document.decode_table,
        )
    )


if __name__ == "__main__":
    sys.exit(startup.run_program(None, build_integration))
