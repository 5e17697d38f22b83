"""Table of the endpoints that one daemon knows."""

import hashlib
import struct

from umberdrum.membership import _record

N_BUCKETS = 32
SUSPECTED_RETENTION_SECONDS = 900.0
FINAL_RETENTION_SECONDS = 120.0
MAX_RECORDS = 20_000
_ORDER = struct.Struct(">QQQ??")


class MembershipTable:
    """Aggregate of the records known to one daemon, its own among them.

    Newer records replace older ones and there is no other rule, so merging is
    commutative, associative and idempotent. Only this daemon raises the version of its
    own record: when others suspect it, or hold a newer record under its id, it answers
    with one that is newer still. Nothing here is agreement between daemons.

    ``predecessor`` is what others still hold of the process that was at the own address
    before, None until they have told.

    Digests cover the live records only, so that two daemons which forget a record of a
    dead one at different moments still agree.
    """

    def __init__(self, own: _record.EndpointRecord) -> None:
        self._records: dict[str, _record.EndpointRecord] = {}
        self._changed_at: dict[str, float] = {}
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * N_BUCKETS
        self._own_id = own.endpoint_id
        self.predecessor: _record.EndpointRecord | None = None
        self.generation = 0
        self._put(own, 0.0)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def own(self) -> _record.EndpointRecord:
        """Record of this daemon's endpoint."""
        return self._records[self._own_id]

    @property
    def records(self) -> list[_record.EndpointRecord]:
        """All records, suspected and final ones included."""
        return list(self._records.values())

    @property
    def n_live(self) -> int:
        """Number of the live records, the own one included."""
        return len(self._hashes)

    @property
    def digest(self) -> int:
        """Digest of all live records, in 64 bits."""
        total = 0
        for bucket in self._buckets:
            total ^= bucket
        return total

    @property
    def bucket_digests(self) -> list[int]:
        """Digest of the live records of each bucket."""
        return list(self._buckets)

    def get(self, endpoint_id: str) -> _record.EndpointRecord | None:
        """Return the record of an endpoint."""
        return self._records.get(endpoint_id)

    def list_bucket(self, bucket: int) -> list[_record.EndpointRecord]:
        """Return all records of one bucket."""
        records = self._records.values()
        return [row for row in records if find_bucket(row.endpoint_id) == bucket]

    def merge(
        self, news: list[_record.EndpointRecord], now: float
    ) -> list[_record.EndpointRecord]:
        """Take newer records and return the changes that are worth passing on.

        ``now`` is in seconds of this daemon's monotonic clock.
        """
        changed: list[_record.EndpointRecord] = []
        for record in news:
            if record.endpoint_id == self._own_id:
                answer = self._defend_own(record, now)
                if answer is not None:
                    changed.append(answer)
                continue
            held = self._records.get(record.endpoint_id)
            if held is None:
                if not record.is_live or len(self._records) >= MAX_RECORDS:
                    continue
            elif not _record.is_newer(record, held):
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
    ) -> _record.EndpointRecord:
        """Write a newer version of the own record and return it.

        An endpoint that was draining never serves again under the same incarnation: it
        gets the next one.
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
        )
        self._put(changed, now)
        return changed

    def suspect(
        self, endpoint_id: str, process_id: int, now: float
    ) -> _record.EndpointRecord | None:
        """Mark a daemon that does not answer; return the record if that is news."""
        held = self._records.get(endpoint_id)
        if held is None or endpoint_id == self._own_id or not held.is_live:
            return None
        if held.process_id != process_id:
            return None
        suspected = held._replace(is_suspected=True)
        self._put(suspected, now)
        return suspected

    def find_correction(
        self, endpoint_id: str, process_id: int
    ) -> _record.EndpointRecord | None:
        """Return the record that a daemon which has just spoken must hear of.

        It is one that suspects that daemon, or one of another process at its address
        that is taken for newer. Only the daemon itself can answer it, by a newer record
        of its own.
        """
        held = self._records.get(endpoint_id)
        if held is None or endpoint_id == self._own_id:
            return None
        if held.process_id == process_id and not held.is_suspected:
            return None
        return held

    def forget_old(self, now: float) -> list[str]:
        """Forget daemons that were suspected, or have left, long ago."""
        forgotten: list[str] = []
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
            forgotten.append(endpoint_id)
        if forgotten:
            self.generation += 1
        return forgotten

    def _defend_own(
        self, record: _record.EndpointRecord, now: float
    ) -> _record.EndpointRecord | None:
        """Answer a record under the own id that is newer than the own one."""
        own = self.own
        if record.process_id != own.process_id:
            self.predecessor = record
        if not _record.is_newer(record, own):
            return None
        incarnation = own.incarnation
        version = max(own.version, record.version) + 1
        if record.process_id != own.process_id or record.is_final:
            incarnation = record.incarnation + 1
        elif record.incarnation > own.incarnation:
            incarnation = record.incarnation
        answer = own._replace(incarnation=incarnation, version=version)
        self._put(answer, now)
        return answer

    def _put(self, record: _record.EndpointRecord, now: float) -> None:
        endpoint_id = record.endpoint_id
        bucket = find_bucket(endpoint_id)
        self._buckets[bucket] ^= self._hashes.pop(endpoint_id, 0)
        if record.is_live:
            record_hash = _hash_record(record)
            self._hashes[endpoint_id] = record_hash
            self._buckets[bucket] ^= record_hash
        self._records[endpoint_id] = record
        self._changed_at[endpoint_id] = now
        self.generation += 1


def find_bucket(endpoint_id: str) -> int:
    """Return the number of the bucket that holds an endpoint's record."""
    digest = hashlib.blake2b(endpoint_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % N_BUCKETS


def _hash_record(record: _record.EndpointRecord) -> int:
    order = _record.get_order(record)
    packed = _ORDER.pack(
        order.incarnation,
        order.process_id,
        order.version,
        order.is_final,
        order.is_suspected,
    )
    hasher = hashlib.blake2b(record.endpoint_id.encode() + packed, digest_size=8)
    return int.from_bytes(hasher.digest(), "big")
