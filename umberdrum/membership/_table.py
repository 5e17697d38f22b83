"""Membership table: the endpoint records that one daemon holds."""

import hashlib
import struct

from umberdrum.membership import _record

N_BUCKETS = 32
SUSPECTED_RETENTION_SECONDS = 900.0
FINAL_RETENTION_SECONDS = 120.0
MAX_RECORDS = 20_000
_PACKED_VERSION_ORDER = struct.Struct(">QQQ??")


class MembershipTable:
    """Endpoint records known to one daemon, including its own.

    Newer records replace older ones and there is no other rule, so merging is
    commutative, associative and idempotent. Only this daemon raises the version of its
    own record. When other daemons suspect it, or hold a newer record under its id, it
    publishes a record that is newer than theirs. The table provides no consensus
    between daemons.

    ``predecessor`` is the newest record that other daemons still hold of an earlier
    process at this daemon's address. It is None until such a record has been received.
    The own record takes over its ``ended_run``, for the process after this one.

    Digests cover only live records. Two daemons that remove the record of a dead daemon
    at different times therefore still have equal digests.
    """

    def __init__(self, own: _record.EndpointRecord) -> None:
        self._records: dict[str, _record.EndpointRecord] = {}
        self._changed_at: dict[str, float] = {}
        self._live_hashes: dict[str, int] = {}
        self._bucket_digests = [0] * N_BUCKETS
        self._own_id = own.endpoint_id
        self.predecessor: _record.EndpointRecord | None = None
        self.generation = 0
        self._put(own, 0.0)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def own(self) -> _record.EndpointRecord:
        """Record of this daemon's own endpoint."""
        return self._records[self._own_id]

    @property
    def records(self) -> list[_record.EndpointRecord]:
        """All records, including suspected and final ones."""
        return list(self._records.values())

    @property
    def n_live(self) -> int:
        """Number of live records, including this daemon's own."""
        return len(self._live_hashes)

    @property
    def digest(self) -> int:
        """64-bit digest of all live records."""
        total = 0
        for bucket_digest in self._bucket_digests:
            total ^= bucket_digest
        return total

    @property
    def bucket_digests(self) -> list[int]:
        """Digest of the live records in each bucket."""
        return list(self._bucket_digests)

    def get(self, endpoint_id: str) -> _record.EndpointRecord | None:
        """Return the record of an endpoint, or None if there is none."""
        return self._records.get(endpoint_id)

    def list_bucket(self, bucket: int) -> list[_record.EndpointRecord]:
        """Return all records in one bucket, including suspected and final ones."""
        records = self._records.values()
        return [row for row in records if compute_bucket(row.endpoint_id) == bucket]

    def merge(
        self, received: list[_record.EndpointRecord], now: float
    ) -> list[_record.EndpointRecord]:
        """Merge newer records and return the changed records for dissemination.

        ``now`` is in seconds of this daemon's monotonic clock. A suspected or final
        record of an unknown endpoint is ignored, and so is any record of an unknown
        endpoint once the table holds ``MAX_RECORDS``.
        """
        changed: list[_record.EndpointRecord] = []
        for record in received:
            if record.endpoint_id == self._own_id:
                refutation = self._refute(record, now)
                if refutation is not None:
                    changed.append(refutation)
                continue
            current = self._records.get(record.endpoint_id)
            if current is None:
                if not record.is_live or len(self._records) >= MAX_RECORDS:
                    continue
            elif not _record.is_newer(record, current):
                continue
            self._put(record, now)
            changed.append(record)
        return changed

    def update_own_record(
        self,
        now: float,
        *,
        state: _record.RecordState | None = None,
        service: str | None = None,
        n_slots: int | None = None,
        is_contact: bool | None = None,
        is_final: bool | None = None,
        ended_run: int | None = None,
    ) -> _record.EndpointRecord:
        """Store a newer version of this daemon's own record and return it.

        An endpoint that was draining never serves again under the same incarnation. A
        change to any other state starts the next incarnation.
        """
        own = self.own
        incarnation = own.incarnation
        was_draining = own.state is _record.RecordState.DRAINING
        if was_draining and state not in (None, _record.RecordState.DRAINING):
            incarnation += 1
        changed = own._replace(
            incarnation=incarnation,
            version=own.version + 1,
            state=own.state if state is None else state,
            service=own.service if service is None else service,
            n_slots=own.n_slots if n_slots is None else n_slots,
            is_contact=own.is_contact if is_contact is None else is_contact,
            is_final=own.is_final if is_final is None else is_final,
            is_suspected=False,
            ended_run=own.ended_run if ended_run is None else ended_run,
        )
        self._put(changed, now)
        return changed

    def suspect(
        self, endpoint_id: str, process_id: int, now: float
    ) -> _record.EndpointRecord | None:
        """Mark a daemon as suspected; return its record, or None if nothing changed."""
        current = self._records.get(endpoint_id)
        if current is None or endpoint_id == self._own_id or not current.is_live:
            return None
        if current.process_id != process_id:
            return None
        suspected = current._replace(is_suspected=True)
        self._put(suspected, now)
        return suspected

    def find_conflicting_record(
        self, endpoint_id: str, process_id: int
    ) -> _record.EndpointRecord | None:
        """Return the record that the sender of a message has to refute, if any.

        The record either suspects that daemon or belongs to another process at the same
        address and is considered newer. Only the daemon itself can refute it, with a
        newer version of its own record.
        """
        current = self._records.get(endpoint_id)
        if current is None or endpoint_id == self._own_id:
            return None
        if current.process_id == process_id and not current.is_suspected:
            return None
        return current

    def remove_expired(self, now: float) -> list[str]:
        """Remove final and suspected records past their retention; return their ids."""
        removed: list[str] = []
        for endpoint_id, record in list(self._records.items()):
            if record.is_live or endpoint_id == self._own_id:
                continue
            retention = SUSPECTED_RETENTION_SECONDS
            if record.is_final:
                retention = FINAL_RETENTION_SECONDS
            if now - self._changed_at[endpoint_id] < retention:
                continue
            del self._records[endpoint_id]
            del self._changed_at[endpoint_id]
            removed.append(endpoint_id)
        if removed:
            self.generation += 1
        return removed

    def _refute(
        self, record: _record.EndpointRecord, now: float
    ) -> _record.EndpointRecord | None:
        """Supersede ``record`` by a new own record if it has to be; else return None.

        It has to be if it is newer, or names an ended run while the own record names
        none. ``record`` has this daemon's id. If it is of another process, it is kept
        as ``predecessor``.
        """
        own = self.own
        is_of_other_process = record.process_id != own.process_id
        if is_of_other_process and (
            self.predecessor is None or _record.is_newer(record, self.predecessor)
        ):
            self.predecessor = record
        is_newer = _record.is_newer(record, own)
        ended_run = own.ended_run or record.ended_run
        if not is_newer and ended_run == own.ended_run:
            return None
        incarnation = max(own.incarnation, record.incarnation)
        version = max(own.version, record.version) + 1
        if is_newer and (is_of_other_process or record.is_final):
            incarnation = record.incarnation + 1
        refutation = own._replace(
            incarnation=incarnation, version=version, ended_run=ended_run
        )
        self._put(refutation, now)
        return refutation

    def _put(self, record: _record.EndpointRecord, now: float) -> None:
        endpoint_id = record.endpoint_id
        bucket = compute_bucket(endpoint_id)
        self._bucket_digests[bucket] ^= self._live_hashes.pop(endpoint_id, 0)
        if record.is_live:
            record_hash = _hash_record(record)
            self._live_hashes[endpoint_id] = record_hash
            self._bucket_digests[bucket] ^= record_hash
        self._records[endpoint_id] = record
        self._changed_at[endpoint_id] = now
        self.generation += 1


def compute_bucket(endpoint_id: str) -> int:
    """Return the index of the bucket that an endpoint's record belongs to."""
    digest = hashlib.blake2b(endpoint_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % N_BUCKETS


def _hash_record(record: _record.EndpointRecord) -> int:
    order = _record.get_version_order(record)
    packed = _PACKED_VERSION_ORDER.pack(
        order.incarnation,
        order.process_id,
        order.version,
        order.is_final,
        order.is_suspected,
    )
    hasher = hashlib.blake2b(record.endpoint_id.encode() + packed, digest_size=8)
    return int.from_bytes(hasher.digest(), "big")
