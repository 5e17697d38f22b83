"""Load balancer for servers whose load shifts in milliseconds.

The subpackages are parts that others may embed: ``classes``, ``membership``,
``routing``, ``admission``, ``outcomes``, ``measuring``, ``store`` and ``callpath``.
Each states its public surface in ``__all__``; modules with a leading underscore are
private.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
