"""Which contact makes sure that no change was lost on the way from the store."""

from collections.abc import Iterable

from umberdrum import membership


def choose_guard(contacts: Iterable[membership.EndpointRecord]) -> str:
    """Return the id of the contact whose watch the store has to answer often.

    Each such answer costs the store a call, and one contact that has found a lost
    change tells all daemons. When the guard is suspected, the next contact takes over
    with a watch on a new connection. The id is empty if there is no contact.

    Example: of the contacts ``10.0.0.7:70`` and ``10.0.0.5:70`` the second is chosen.
    """
    return min((record.endpoint_id for record in contacts), default="")
