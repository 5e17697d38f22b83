"""Store adapter for the JSON gateway of the etcd v3 protocol."""

import base64
import contextlib
from collections.abc import AsyncIterator

import expression
import trio

from umberdrum import errors, jsonclient, settings
from umberdrum.store import _calls, _eras, _store

JsonObject = jsonclient.JsonObject


class EtcdStore:
    """Client of the etcd v3 JSON gateway over HTTP/1.1.

    Calls reuse a persistent connection if there is one; each watch opens its own. Reads
    and renewals of a lease are sent once more on a new one if that gives no answer.

    A watch that has been silent for its longest time is opened again. The first answer
    of each stream shows that its connection works.

    The protocol has no eras. A member that is restored from a snapshot must continue
    with higher revisions and without the history before them, as ``etcdutl snapshot
    restore --bump-revision --mark-compacted`` makes it do.
    """

    def __init__(
        self,
        addresses: tuple[settings.Address, ...],
        counter: _calls.StoreCallCounter,
        timeout_seconds: float = 2.0,
    ) -> None:
        kinds = jsonclient.FailureKinds(
            errors.ErrorKind.STORE_UNAVAILABLE, errors.ErrorKind.STORE_OUTCOME_UNKNOWN
        )
        self._client = jsonclient.JsonClient(addresses, timeout_seconds, kinds)
        self.counter = counter
        self.eras = _eras.EraTracker()

    def close(self) -> None:
        """Close persistent connections."""
        self._client.close()

    async def get(
        self, key: str
    ) -> expression.Result[_store.KeyValue | None, errors.Failure]:
        """Return the key, or None if it does not exist."""
        answer = await self._read_range({"key": _encode_key(key)})
        if answer.is_error():
            return expression.Error(answer.error)
        items = _decode_items(answer.ok.get("kvs", []))
        return expression.Ok(items[0] if items else None)

    async def list_prefix(
        self, prefix: str, may_be_stale: bool = False
    ) -> expression.Result[_store.Listing, errors.Failure]:
        """Return all keys that start with ``prefix``."""
        body: JsonObject = {
            "key": _encode_key(prefix),
            "range_end": _encode_base64(_compute_range_end(prefix)),
        }
        if may_be_stale:
            # Answered by the member that gets the request, without a consensus round.
            body["serializable"] = True
        answer = await self._read_range(body)
        if answer.is_error():
            return expression.Error(answer.error)
        revision = int(answer.ok.get("header", {}).get("revision", 0))
        return expression.Ok(
            _store.Listing(revision, tuple(_decode_items(answer.ok.get("kvs", []))))
        )

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
        read_era: int = 0,
    ) -> expression.Result[_store.SwapResult, errors.Failure]:
        """Write the key if its ``mod_revision`` is as expected; 0: if it is absent."""
        put: JsonObject = {"key": _encode_key(key), "value": _encode_base64(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        return await self._run_transaction(key, expected_revision, {"request_put": put})

    async def delete(
        self, key: str, expected_revision: int, read_era: int = 0
    ) -> expression.Result[_store.SwapResult, errors.Failure]:
        """Delete the key if its ``mod_revision`` is as expected."""
        operation = {"request_delete_range": {"key": _encode_key(key)}}
        return await self._run_transaction(key, expected_revision, operation)

    async def grant_lease(
        self, ttl_seconds: int
    ) -> expression.Result[_store.Lease, errors.Failure]:
        """Return a new lease that expires unless it is renewed in time."""
        body = {"TTL": str(ttl_seconds)}
        answer = await self._post("lease_grant", "/v3/lease/grant", body, is_write=True)
        if answer.is_error():
            return expression.Error(answer.error)
        lease = _store.Lease(int(answer.ok["ID"]), int(answer.ok.get("TTL", 0)))
        return expression.Ok(lease)

    async def keep_alive(
        self, lease_id: int
    ) -> expression.Result[_store.Lease, errors.Failure]:
        """Renew a lease; ``ttl_seconds`` of the result is 0 if it has expired."""
        body = {"ID": str(lease_id)}
        renewed = await self._client.exchange_repeated(
            "POST", "/v3/lease/keepalive", body, (200,)
        )
        answer = self._record("lease_keepalive", renewed)
        if answer.is_error():
            return expression.Error(answer.error)
        result = answer.ok.get("result", {})
        ttl_seconds = int(result.get("TTL", 0))
        return expression.Ok(
            _store.Lease(lease_id, ttl_seconds, found_silence=renewed.found_silence)
        )

    async def revoke_lease(
        self, lease_id: int
    ) -> expression.Result[None, errors.Failure]:
        """Revoke a lease, which deletes its keys."""
        body = {"ID": str(lease_id)}
        answer = await self._post(
            "lease_revoke", "/v3/lease/revoke", body, is_write=True
        )
        if answer.is_error():
            return expression.Error(answer.error)
        return expression.Ok(None)

    @contextlib.asynccontextmanager
    async def watch(
        self,
        prefix: str,
        from_revision: int,
        era: int = 0,
        max_silence_seconds: float = _store.DEFAULT_MAX_SILENCE_SECONDS,
    ) -> AsyncIterator["_EtcdWatch"]:
        """Open a watch of all changes below a prefix, from a revision on."""
        watch = _EtcdWatch(
            self._client, self.counter, max_silence_seconds, prefix, from_revision
        )
        try:
            yield watch
        finally:
            await watch.close()

    async def _run_transaction(
        self, key: str, expected_revision: int, operation: JsonObject
    ) -> expression.Result[_store.SwapResult, errors.Failure]:
        encoded = _encode_key(key)
        body = {
            "compare": [
                {
                    "key": encoded,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [operation],
            "failure": [{"request_range": {"key": encoded}}],
        }
        answer = await self._post("txn", "/v3/kv/txn", body, is_write=True)
        if answer.is_error():
            return expression.Error(answer.error)
        revision = int(answer.ok.get("header", {}).get("revision", 0))
        if answer.ok.get("succeeded"):
            return expression.Ok(_store.SwapResult(True, revision, None))
        current = None
        for response in answer.ok.get("responses", []):
            items = _decode_items(response.get("response_range", {}).get("kvs", []))
            if items:
                current = items[0]
        return expression.Ok(_store.SwapResult(False, revision, current))

    async def _read_range(
        self, body: JsonObject
    ) -> expression.Result[JsonObject, errors.Failure]:
        """Read keys, once more if the kept connection gives no answer."""
        read = await self._client.exchange_repeated(
            "POST", "/v3/kv/range", body, (200,)
        )
        return self._record("range", read)

    def _record(
        self, operation: str, repeated: jsonclient.RepeatedExchange
    ) -> expression.Result[JsonObject, errors.Failure]:
        """Count the calls of an exchange; return its body or its failure."""
        self.counter.count(operation, repeated.n_sent)
        if repeated.result.is_error():
            self.counter.record_failure(repeated.result.error.detail)
            return expression.Error(repeated.result.error)
        self.counter.record_answer()
        return expression.Ok(repeated.result.ok.body)

    async def _post(
        self, operation: str, path: str, body: JsonObject, is_write: bool = False
    ) -> expression.Result[JsonObject, errors.Failure]:
        self.counter.count(operation)
        answer = await self._client.post(path, body, is_write)
        if answer.is_error():
            self.counter.record_failure(answer.error.detail)
        else:
            self.counter.record_answer()
        return answer


class _EtcdWatch:
    """Watch that reads streamed answers of the gateway, one after the other."""

    def __init__(
        self,
        client: jsonclient.JsonClient,
        counter: _calls.StoreCallCounter,
        max_idle_seconds: float,
        prefix: str,
        from_revision: int,
    ) -> None:
        self._client = client
        self._counter = counter
        self._max_idle_seconds = max_idle_seconds
        self._prefix = prefix
        self._stack = contextlib.AsyncExitStack()
        self._stream: jsonclient.JsonStream | None = None
        self.next_revision = from_revision
        self.last_answer_at: float | None = None
        self._has_answered = False

    async def _open(self) -> jsonclient.JsonStream:
        """Open a stream of the changes from ``next_revision`` on."""
        self._counter.count("watch")
        body = {
            "create_request": {
                "key": _encode_key(self._prefix),
                "range_end": _encode_base64(_compute_range_end(self._prefix)),
                "start_revision": str(self.next_revision),
                "progress_notify": True,
            }
        }
        self._has_answered = False
        self._stream = await self._stack.enter_async_context(
            self._client.open_stream("/v3/watch", body, self._max_idle_seconds)
        )
        return self._stream

    async def close(self) -> None:
        """Close the stream, if there is one."""
        self._stream = None
        await self._stack.aclose()

    async def receive(
        self,
    ) -> expression.Result[_store.WatchBatch, errors.Failure]:
        """Return the next batch, or the failure that ended the watch."""
        while True:
            stream = self._stream or await self._open()
            received = await stream.receive()
            if received.is_error() and stream.is_idle and self._has_answered:
                await self.close()
                continue
            if received.is_error():
                return expression.Error(received.error)
            self._has_answered = True
            self.last_answer_at = trio.current_time()
            result = received.ok.get("result", {})
            compacted_revision = int(result.get("compact_revision", 0))
            if result.get("canceled") and not compacted_revision:
                reason = str(result.get("cancel_reason", "no reason given"))
                return expression.Error(
                    _build_unavailable(f"watch cancelled: {reason}")
                )
            revision = int(result.get("header", {}).get("revision", 0))
            events = tuple(_decode_event(event) for event in result.get("events", []))
            if events:
                # The revision of the header may be that of a later change.
                self.next_revision = events[-1].item.mod_revision + 1
            if events or compacted_revision:
                return expression.Ok(
                    _store.WatchBatch(events, revision, compacted_revision)
                )


def _decode_event(event: JsonObject) -> _store.WatchEvent:
    item = _decode_items([event.get("kv", {})])[0]
    return _store.WatchEvent(item, event.get("type") == "DELETE")


def _decode_items(rows: list[JsonObject]) -> list[_store.KeyValue]:
    items: list[_store.KeyValue] = []
    for row in rows:
        items.append(
            _store.KeyValue(
                base64.b64decode(row.get("key", "")).decode("utf-8", "replace"),
                base64.b64decode(row.get("value", "")),
                int(row.get("mod_revision", 0)),
                int(row.get("lease", 0)),
            )
        )
    return items


def _compute_range_end(prefix: str) -> bytes:
    """Return the exclusive end of the range of keys that start with ``prefix``."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _encode_key(key: str) -> str:
    return _encode_base64(key.encode())


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


def _build_unavailable(detail: str) -> errors.Failure:
    return errors.fail(errors.ErrorKind.STORE_UNAVAILABLE, detail)
