"""Random selection of gossip peers by availability zone and region."""

import random

from umberdrum import membership

SAME_ZONE_PROBABILITY = 0.6
SAME_REGION_PROBABILITY = 0.3
SUSPECTED_PROBE_PROBABILITY = 0.1


class PeerSelector:
    """Selects random peers, preferring the same availability zone and region."""

    def __init__(self, table: membership.MembershipTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng

    def list_live_peers(self) -> list[membership.EndpointRecord]:
        """Return the records of all live daemons except this one."""
        own_id = self._table.own.endpoint_id
        records = self._table.records
        return [row for row in records if row.is_live and row.endpoint_id != own_id]

    def list_zone_peers(self) -> list[membership.EndpointRecord]:
        """Return the records of the own zone's daemons, suspected ones included.

        This daemon and those that have left are not among them.
        """
        own = self._table.own
        return [
            row
            for row in self._table.records
            if row.availability_zone == own.availability_zone
            and not row.is_final
            and row.endpoint_id != own.endpoint_id
        ]

    def choose_peer(self) -> membership.EndpointRecord | None:
        """Select a peer, mostly from the same zone and rarely from another region.

        With ``SUSPECTED_PROBE_PROBABILITY`` it is a suspected daemon, so that a
        recovery is detected.
        """
        own = self._table.own
        if self._rng.random() < SUSPECTED_PROBE_PROBABILITY:
            suspected = [
                row
                for row in self._table.records
                if row.is_suspected and not row.is_final
            ]
            if suspected:
                return self._rng.choice(suspected)
        live_peers = self.list_live_peers()
        if not live_peers:
            return None
        same_zone: list[membership.EndpointRecord] = []
        same_region: list[membership.EndpointRecord] = []
        others: list[membership.EndpointRecord] = []
        for row in live_peers:
            if row.region != own.region:
                others.append(row)
            elif row.availability_zone != own.availability_zone:
                same_region.append(row)
            else:
                same_zone.append(row)
        draw = self._rng.random()
        if same_zone and draw < SAME_ZONE_PROBABILITY:
            return self._rng.choice(same_zone)
        if same_region and draw < SAME_ZONE_PROBABILITY + SAME_REGION_PROBABILITY:
            return self._rng.choice(same_region)
        return self._rng.choice(others or live_peers)

    def choose_dead_peer(self) -> membership.EndpointRecord | None:
        """Occasionally select a daemon that has left or is suspected.

        A new daemon at the same address may be unable to reach the store and know no
        peers. On average, all daemons together send one datagram per period to each
        such address.
        """
        dead_peers = [row for row in self._table.records if not row.is_live]
        n_live = len(self.list_live_peers()) + 1
        if self._rng.random() * n_live >= len(dead_peers):
            return None
        return self._rng.choice(dead_peers)

    def choose_push_targets(self, n_peers: int) -> list[membership.EndpointRecord]:
        """Select at most ``n_peers`` for an immediate push, one in another zone if any.

        Peers of the own zone come first after that one.
        """
        if n_peers <= 0:
            return []
        own_zone = self._table.own.availability_zone
        same_zone: list[membership.EndpointRecord] = []
        other_zones: list[membership.EndpointRecord] = []
        for row in self.list_live_peers():
            is_same_zone = row.availability_zone == own_zone
            (same_zone if is_same_zone else other_zones).append(row)
        n_other_zones = min(len(other_zones), max(1, n_peers - len(same_zone)))
        chosen = self._rng.sample(other_zones, n_other_zones)
        return chosen + self._rng.sample(
            same_zone, min(len(same_zone), n_peers - n_other_zones)
        )
