"""Load balancer for servers whose load changes within milliseconds.

The subpackages can be embedded in other programs: ``classes``, ``membership``,
``routing``, ``admission``, ``outcomes``, ``measuring``, ``store`` and ``callpath``.
Each lists its public names in ``__all__``; modules with a leading underscore are
private.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
