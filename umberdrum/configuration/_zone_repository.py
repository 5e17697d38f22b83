"""Operators' orders that take availability zones out of service."""

from typing import NamedTuple

import expression
import trio

from umberdrum import errors, store
from umberdrum.configuration import _contacts, _documents, _repository

ORDER_DOCUMENT = b"{}"


class ZoneOrder(NamedTuple):
    """Availability zone, and the revision of the order that drains it, 0 without."""

    zone: str
    revision: int

    @property
    def is_drained(self) -> bool:
        """Whether the zone is out of service."""
        return self.revision > 0


OrderResult = expression.Result[ZoneOrder, errors.Failure]


class ZoneRepository:
    """Reads and changes the zone drains in the store, one key each.

    A zone is known if daemons of it are listed in the store. Only known zones can be
    drained, so that a misspelt name is found; any drained zone can be restored. Orders
    hold no content, so a change whose answer was lost is settled by reading whether the
    key exists.
    """

    def __init__(self, target_store: store.Store, prefix: str) -> None:
        self._store = target_store
        self._drains_prefix = (
            _documents.build_documents_prefix(prefix)
            + _documents.ZONE_DRAINS_NAME_PREFIX
        )
        self._members_prefix = _contacts.build_members_prefix(prefix)

    async def list_zones(self) -> expression.Result[list[ZoneOrder], errors.Failure]:
        """Return the known and the drained zones, sorted by name."""
        members = await self._store.list_prefix(self._members_prefix)
        if members.is_error():
            return expression.Error(members.error)
        drains = await self._store.list_prefix(self._drains_prefix)
        if drains.is_error():
            return expression.Error(drains.error)
        revisions: dict[str, int] = {}
        for item in members.ok.items:
            revisions[item.key.removeprefix(self._members_prefix)] = 0
        for item in drains.ok.items:
            revisions[item.key.removeprefix(self._drains_prefix)] = item.mod_revision
        return expression.Ok([ZoneOrder(*row) for row in sorted(revisions.items())])

    async def drain(self, zone: str) -> OrderResult:
        """Take ``zone`` out of service; an unknown zone is refused."""
        listed = await self.list_zones()
        if listed.is_error():
            return expression.Error(listed.error)
        known = [row.zone for row in listed.ok]
        if zone not in known:
            found = ", ".join(known) or "none"
            detail = f"no zone is named {zone!r}; known zones: {found}"
            return expression.Error(errors.fail(errors.ErrorKind.NOT_FOUND, detail))
        return await self._settle(zone, is_drained=True)

    async def restore(self, zone: str) -> OrderResult:
        """Return ``zone`` to service; a zone that is not drained is refused."""
        listed = await self.list_zones()
        if listed.is_error():
            return expression.Error(listed.error)
        drained = [row.zone for row in listed.ok if row.is_drained]
        if zone not in drained:
            found = ", ".join(drained) or "none"
            detail = f"zone {zone!r} is not drained; drained zones: {found}"
            return expression.Error(errors.fail(errors.ErrorKind.NOT_FOUND, detail))
        return await self._settle(zone, is_drained=False)

    async def _settle(self, zone: str, is_drained: bool) -> OrderResult:
        """Create or delete the order's key, and repeat that while its end is unknown.

        Repeating is safe, because both changes only state what the key should be.
        """
        for attempt in range(_repository.MAX_OUTCOME_CHECKS):
            if attempt:
                await trio.sleep(_repository.OUTCOME_CHECK_INTERVAL_SECONDS)
            got = await self._store.get(self._drains_prefix + zone)
            if got.is_error():
                if not attempt:
                    return expression.Error(got.error)
                continue
            revision = got.ok.mod_revision if got.ok is not None else 0
            if is_drained == (revision > 0):
                return expression.Ok(ZoneOrder(zone, revision))
            changed = await self._change(zone, revision)
            if changed.is_error():
                if changed.error.kind is errors.ErrorKind.STORE_OUTCOME_UNKNOWN:
                    continue
                return expression.Error(changed.error)
            if changed.ok.is_applied:
                new_revision = changed.ok.revision if is_drained else 0
                return expression.Ok(ZoneOrder(zone, new_revision))
        return expression.Error(
            errors.fail(
                errors.ErrorKind.STORE_OUTCOME_UNKNOWN,
                f"the store did not confirm the change of zone {zone}; list the zones "
                "before changing it again",
                errors.Execution.MAY_HAVE_RUN,
            )
        )

    async def _change(
        self, zone: str, revision: int
    ) -> expression.Result[store.SwapResult, errors.Failure]:
        key = self._drains_prefix + zone
        if revision:
            return await self._store.delete(key, revision)
        return await self._store.compare_and_swap(key, 0, ORDER_DOCUMENT)
