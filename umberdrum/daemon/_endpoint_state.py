"""Propagation of the upstream's state to the parts of the daemon."""

import trio

from umberdrum import callpath, gossip, membership, supervision

_RECORD_STATES = {
    callpath.EndpointState.ABSENT: membership.RecordState.ABSENT,
    callpath.EndpointState.STARTING: membership.RecordState.STARTING,
    callpath.EndpointState.SERVING: membership.RecordState.SERVING,
    callpath.EndpointState.DRAINING: membership.RecordState.DRAINING,
}


class EndpointStateUpdater:
    """Applies changes of the upstream's state to this daemon and its record.

    It updates the endpoint with its admission gate, the pool of connections to the
    upstream, the prober and the daemon's own membership record.

    Each change is pushed to several peers at once, because a departing upstream must
    stop getting new calls within seconds, and a new one is needed.
    """

    def __init__(
        self,
        endpoint: callpath.EndpointService,
        pool: callpath.UpstreamPool,
        prober: callpath.UpstreamProber,
        cold_start: callpath.ColdStart,
        state: gossip.SharedState,
        exchange: gossip.GossipExchange,
        tasks: supervision.TaskStarter,
    ) -> None:
        self._endpoint = endpoint
        self._pool = pool
        self._prober = prober
        self._cold_start = cold_start
        self._state = state
        self._exchange = exchange
        self._tasks = tasks
        self._has_left = False

    def apply_announcement(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Apply the address, state, slots and identity of ``announcement``.

        After the daemon has left, it can only end the service of the upstream.
        """
        if self._has_left:
            self._end_service(announcement.state)
            return
        self._pool.set_address(announcement.address)
        if announcement.instance_id != self._endpoint.relay.instance_id:
            # Connections to an earlier run of the upstream are dead.
            self._pool.close_all()
        self._endpoint.service = announcement.service
        self._prober.service = announcement.service
        self._endpoint.relay.instance_id = announcement.instance_id
        notices = self._endpoint.notices
        if notices.start_run(announcement.instance_id, announcement.born_ms):
            self._endpoint.crash_guard.confirm_breaks(notices.run_id)
        self._endpoint.gate.slot_limit.set_slots(announcement.n_slots)
        self.apply_cold_period(announcement)
        self._endpoint.set_state(announcement.state)
        record = self._state.table.update_own_record(
            trio.current_time(),
            state=_RECORD_STATES[announcement.state],
            service=announcement.service,
            n_slots=announcement.n_slots,
        )
        self._publish(record)

    def apply_cold_period(self, announcement: callpath.UpstreamAnnouncement) -> None:
        """Take over how long the upstream stays cold.

        Only an announcement with a sequence number states that.
        """
        if announcement.sequence:
            self._cold_start.update(
                announcement.service, announcement.cold_seconds, trio.current_time()
            )

    def mark_ended_run(self, mark: int) -> None:
        """Name the run with ``mark`` in the own record as the last that has ended.

        The change of the endpoint's state that follows is pushed with it.
        """
        if mark == self._state.table.own.ended_run:
            return
        record = self._state.table.update_own_record(
            trio.current_time(), ended_run=mark
        )
        self._state.publish_own_record(record)

    def apply_absence(self) -> None:
        """Mark the endpoint as absent."""
        if self._has_left:
            self._end_service(callpath.EndpointState.ABSENT)
            return
        self._endpoint.set_state(callpath.EndpointState.ABSENT)
        record = self._state.table.update_own_record(
            trio.current_time(), state=membership.RecordState.ABSENT
        )
        self._publish(record)

    def leave(self) -> None:
        """Publish the daemon's final record, and still run calls that arrive late.

        The record keeps the state of the upstream, for the next process of the daemon.
        """
        self._has_left = True
        record = self._state.table.update_own_record(
            trio.current_time(),
            is_contact=False,
            is_final=True,
        )
        self._state.publish_own_record(record)

    def refuse_calls(self) -> None:
        """Refuse new calls, after ``leave``."""
        self._endpoint.set_state(callpath.EndpointState.DRAINING)

    def _end_service(self, state: callpath.EndpointState) -> None:
        """Apply a state of the upstream that was announced after ``leave``."""
        if state is callpath.EndpointState.SERVING:
            return
        self._endpoint.set_state(state)
        record = self._state.table.update_own_record(
            trio.current_time(), state=_RECORD_STATES[state]
        )
        self._publish(record)

    def _publish(self, record: membership.EndpointRecord) -> None:
        self._state.publish_own_record(record)
        self._tasks.start_soon(self._exchange.push_own_record)
