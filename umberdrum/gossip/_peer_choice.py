"""Choice of the peers that a daemon talks to."""

import random

from umberdrum import membership

SAME_ZONE_SHARE = 0.6
SAME_REGION_SHARE = 0.3
SUSPECTED_PROBE_SHARE = 0.1


class PeerChoice:
    """Draws peers from the membership table, near ones more often than distant ones."""

    def __init__(self, table: membership.MembershipTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng

    def list_members(self) -> list[membership.EndpointRecord]:
        """Return the records of all live daemons but this one."""
        own_id = self._table.own.endpoint_id
        records = self._table.records
        return [row for row in records if row.is_live and row.endpoint_id != own_id]

    def choose_peer(self) -> membership.EndpointRecord | None:
        """Draw a peer: mostly of the own zone, some of the region, few of others.

        Now and then it is one that is suspected, so that its return is noticed.
        """
        own = self._table.own
        if self._rng.random() < SUSPECTED_PROBE_SHARE:
            suspected = [
                row
                for row in self._table.records
                if row.is_suspected and not row.is_final
            ]
            if suspected:
                return self._rng.choice(suspected)
        members = self.list_members()
        if not members:
            return None
        same_zone: list[membership.EndpointRecord] = []
        same_region: list[membership.EndpointRecord] = []
        others: list[membership.EndpointRecord] = []
        for row in members:
            if row.region != own.region:
                others.append(row)
            elif row.availability_zone != own.availability_zone:
                same_region.append(row)
            else:
                same_zone.append(row)
        draw = self._rng.random()
        if same_zone and draw < SAME_ZONE_SHARE:
            return self._rng.choice(same_zone)
        if same_region and draw < SAME_ZONE_SHARE + SAME_REGION_SHARE:
            return self._rng.choice(same_region)
        return self._rng.choice(others or members)

    def choose_departed(self) -> membership.EndpointRecord | None:
        """Draw a daemon that has left or does not answer, now and then.

        Its successor at the same address may have no way to the store and know nobody.
        All daemons together send each such address one datagram a period.
        """
        departed = [row for row in self._table.records if not row.is_live]
        n_members = len(self.list_members()) + 1
        if self._rng.random() * n_members >= len(departed):
            return None
        return self._rng.choice(departed)

    def choose_for_push(self, n_peers: int) -> list[membership.EndpointRecord]:
        """Draw the peers that hear of a change at once, one of another zone if any."""
        own_zone = self._table.own.availability_zone
        near: list[membership.EndpointRecord] = []
        distant: list[membership.EndpointRecord] = []
        for row in self.list_members():
            is_near = row.availability_zone == own_zone
            (near if is_near else distant).append(row)
        n_distant = min(len(distant), max(1, n_peers - len(near)))
        chosen = self._rng.sample(distant, n_distant)
        return chosen + self._rng.sample(near, min(len(near), n_peers - n_distant))
