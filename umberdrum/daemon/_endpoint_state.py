"""What follows in the daemon from a change of its upstream's state."""

import trio

from umberdrum import callpath, gossip, membership

PUSH_PEERS = 5

_RECORD_STATES = {
    callpath.EndpointState.ABSENT: membership.RecordState.ABSENT,
    callpath.EndpointState.STARTING: membership.RecordState.STARTING,
    callpath.EndpointState.SERVING: membership.RecordState.SERVING,
    callpath.EndpointState.DRAINING: membership.RecordState.DRAINING,
}


class EndpointStateUpdater:
    """Brings gate, pool and membership record in line with the upstream's state.

    A change is pushed to a few peers at once, since an upstream that leaves must get no
    new work within seconds.
    """

    def __init__(
        self,
        endpoint: callpath.EndpointService,
        pool: callpath.UpstreamPool,
        prober: callpath.UpstreamProber,
        state: gossip.SharedState,
        exchange: gossip.GossipExchange,
        nursery: trio.Nursery,
    ) -> None:
        self._endpoint = endpoint
        self._pool = pool
        self._prober = prober
        self._state = state
        self._exchange = exchange
        self._nursery = nursery
        self.is_stopping = False

    def apply_announcement(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Use what the upstream says of itself from now on."""
        if self.is_stopping:
            return
        self._pool.set_address(announcement.address)
        if announcement.instance_id != self._endpoint.relay.instance_id:
            # Connections to an earlier run of the upstream lead nowhere.
            self._pool.close_all()
        self._endpoint.service = announcement.service
        self._prober.service = announcement.service
        self._endpoint.relay.instance_id = announcement.instance_id
        self._endpoint.gate.slot_limit.set_slots(announcement.n_slots)
        self._endpoint.set_state(announcement.state)
        record = self._state.table.update_own_record(
            trio.current_time(),
            state=_RECORD_STATES[announcement.state],
            service=announcement.service,
            n_slots=announcement.n_slots,
        )
        self._publish(record)

    def apply_absence(self) -> None:
        """Note that the upstream is gone."""
        if self.is_stopping:
            return
        self._endpoint.set_state(callpath.EndpointState.ABSENT)
        record = self._state.table.update_own_record(
            trio.current_time(), state=membership.RecordState.ABSENT
        )
        self._publish(record)

    def leave(self) -> None:
        """Refuse new calls and tell the others that this daemon leaves for good."""
        self.is_stopping = True
        self._endpoint.set_state(callpath.EndpointState.DRAINING)
        record = self._state.table.update_own_record(
            trio.current_time(),
            state=membership.RecordState.DRAINING,
            is_contact=False,
            is_final=True,
        )
        self._publish(record)

    def _publish(self, record: membership.EndpointRecord) -> None:
        self._state.publish_own_record(record)
        self._nursery.start_soon(self._exchange.push_updates, PUSH_PEERS)
