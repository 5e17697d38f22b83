"""Store stand-in: a server of the etcd v3 JSON gateway that can inject faults."""

import argparse
import base64
import collections
import json
import random
import sys
from collections.abc import Sequence
from typing import Any

import h11
import trio

from umberdrum import settings, sockets, store
from umberdrum_bench import http_server, store_state

JsonObject = dict[str, Any]
LEASE_CHECK_INTERVAL_SECONDS = 0.2
WRITE_PATHS = frozenset(("/v3/kv/txn", "/v3/lease/grant", "/v3/lease/revoke"))


class StoreFaults:
    """Faults of the stand-in, active until they are switched off.

    ``n_lost_answers`` counts the next writes that are applied but not answered.
    ``copy`` is the last copy that was taken, to which the store can be restored.
    Listings of a prefix that begins with ``slow_prefix`` take ``slow_prefix_seconds``.
    ``lost_share`` of the answers to paths that begin with ``lossy_path`` are lost, as
    ``rng`` draws; a connection on which an answer was lost stays open and returns
    nothing more.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.delay_seconds = 0.0
        self.n_lost_answers = 0
        self.copy: store_state.StoreCopy | None = None
        self.slow_prefix = ""
        self.slow_prefix_seconds = 0.0
        self.lost_share = 0.0
        self.lossy_path = ""
        self.rng = random.Random(1)


class _ConnectionDroppedError(Exception):
    """The connection is to be closed instead of an answer."""


class StoreServer:
    """Serves a ``StoreState`` over HTTP.

    ``POST /standin/faults`` accepts ``down``, ``delay_ms``, ``lost_answers``,
    ``lapse``, ``compact``, ``copy`` and ``restore``. ``GET /standin/counts`` returns
    the number of calls by path and the number of open watches.
    """

    def __init__(self, state: store_state.StoreState, faults: StoreFaults) -> None:
        self.state = state
        self.faults = faults
        self.n_calls: collections.Counter[str] = collections.Counter()
        self.n_open_watches = 0
        self._open_connections: set[sockets.Connection] = set()

    async def expire_leases_forever(self) -> None:
        """Revoke expired leases periodically until cancelled."""
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL_SECONDS)
            self.state.expire_leases()

    async def serve(self, connection: sockets.Connection) -> None:
        """Serve requests of one connection until it closes."""
        self._open_connections.add(connection)
        try:
            await self._serve_requests(connection)
        except (_ConnectionDroppedError, h11.ProtocolError):
            return
        finally:
            self._open_connections.discard(connection)

    async def _serve_requests(self, connection: sockets.Connection) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            head = await http_server.receive_event(connection, http)
            if not isinstance(head, h11.Request):
                return
            raw = b""
            while isinstance(
                event := await http_server.receive_event(connection, http), h11.Data
            ):
                raw += bytes(event.data)
            path = bytes(head.target).decode("latin-1")
            await self._answer(connection, http, path, raw)
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()

    async def _answer(
        self,
        connection: sockets.Connection,
        http: h11.Connection,
        path: str,
        raw: bytes,
    ) -> None:
        if path == "/standin/faults":
            self.switch_faults(json.loads(raw))
            await http_server.send_json(connection, http, {"ok": True})
            return
        if path == "/standin/counts":
            counts: JsonObject = dict(self.n_calls)
            counts["open_watches"] = self.n_open_watches
            await http_server.send_json(connection, http, counts)
            return
        if self.faults.is_down:
            raise _ConnectionDroppedError
        self.n_calls[path] += 1
        if self.faults.delay_seconds:
            await trio.sleep(self.faults.delay_seconds)
        body: JsonObject = json.loads(raw or b"{}")
        if path == "/v3/watch":
            await self._serve_watch(connection, http, body["create_request"])
            return
        answer = self._apply(path, body)
        if path in WRITE_PATHS and self.faults.n_lost_answers > 0:
            self.faults.n_lost_answers -= 1
            raise _ConnectionDroppedError
        await http_server.send_json(connection, http, answer)

    def switch_faults(self, body: JsonObject) -> None:
        """Switch faults on and off; a missing field leaves its fault unchanged.

        ``lapse`` ends all leases and ``compact`` discards the history, both at once.
        ``copy`` takes a copy of the store and ``restore`` returns to it. ``down``,
        ``compact`` and ``restore`` also close all open connections.
        """
        faults = self.faults
        faults.is_down = bool(body.get("down", faults.is_down))
        faults.delay_seconds = body.get("delay_ms", faults.delay_seconds * 1000) / 1000
        faults.n_lost_answers = int(body.get("lost_answers", faults.n_lost_answers))
        if body.get("lapse"):
            self.state.expire_all_leases()
        if body.get("compact"):
            self.state.compact()
        if body.get("copy"):
            faults.copy = self.state.take_copy()
        if body.get("restore") and faults.copy is not None:
            self.state.restore(faults.copy)
        if faults.is_down or body.get("compact") or body.get("restore"):
            for connection in list(self._open_connections):
                connection.close()

    def _apply(self, path: str, body: JsonObject) -> JsonObject:
        if path == "/v3/kv/range":
            return self._read_range(body)
        if path == "/v3/kv/txn":
            return self._apply_txn(body)
        if path == "/v3/lease/grant":
            ttl_seconds = int(body["TTL"])
            lease_id = self.state.grant_lease(ttl_seconds)
            return self._with_header({"ID": str(lease_id), "TTL": str(ttl_seconds)})
        if path == "/v3/lease/keepalive":
            lease_id = int(body["ID"])
            ttl_seconds = self.state.keep_alive(lease_id)
            result = {"ID": str(lease_id)}
            if ttl_seconds:
                result["TTL"] = str(ttl_seconds)
            return {"result": self._with_header(result)}
        if path == "/v3/lease/revoke":
            self.state.revoke_lease(int(body["ID"]))
            return self._with_header({})
        return {"error": f"unknown path {path}", "code": 5}

    def _with_header(self, answer: JsonObject) -> JsonObject:
        return {"header": {"revision": str(self.state.revision)}, **answer}

    def _read_range(self, body: JsonObject) -> JsonObject:
        items = self.state.get_range(
            _decode(body["key"]), _decode(body.get("range_end", ""))
        )
        rows = [_render_item(item) for item in items]
        answer: JsonObject = {"count": str(len(rows))}
        if rows:
            answer["kvs"] = rows
        return self._with_header(answer)

    def _apply_txn(self, body: JsonObject) -> JsonObject:
        is_equal = True
        for row in body.get("compare", []):
            expected = int(row.get("mod_revision", 0))
            if self.state.get_mod_revision(_decode(row["key"])) != expected:
                is_equal = False
        responses: list[JsonObject] = []
        for operation in body.get("success" if is_equal else "failure", []):
            responses.append(self._apply_operation(operation))
        answer: JsonObject = {"responses": responses}
        if is_equal:
            answer["succeeded"] = True
        return self._with_header(answer)

    def _apply_operation(self, operation: JsonObject) -> JsonObject:
        if "request_put" in operation:
            put = operation["request_put"]
            value = base64.b64decode(put.get("value", ""))
            self.state.put(_decode(put["key"]), value, int(put.get("lease", 0)))
            return {"response_put": {}}
        if "request_delete_range" in operation:
            key = _decode(operation["request_delete_range"]["key"])
            n_deleted = self.state.delete(key)
            return {"response_delete_range": {"deleted": str(n_deleted)}}
        return {"response_range": self._read_range(operation["request_range"])}

    async def _serve_watch(
        self, connection: sockets.Connection, http: h11.Connection, request: JsonObject
    ) -> None:
        """Stream changes until the peer closes the connection."""
        prefix = _decode(request["key"])
        end = _decode(request.get("range_end", "")) or prefix + "\0"
        next_revision = int(request.get("start_revision", 0)) or self.state.revision + 1
        response = h11.Response(
            status_code=200, headers=[("content-type", "application/json")]
        )
        await connection.send(http.send(response) or b"")
        self.n_open_watches += 1
        try:
            await _send_line(connection, http, self._with_header({"created": True}))
            if next_revision <= self.state.compacted_revision:
                compacted = str(self.state.compacted_revision)
                result = {"canceled": True, "compact_revision": compacted}
                await _send_line(connection, http, self._with_header(result))
                return
            while not connection.is_lost():
                next_revision = await self._send_changes(
                    connection, http, prefix, end, next_revision
                )
                with trio.move_on_after(1.0):
                    await self.state.wait_for_change()
        finally:
            self.n_open_watches -= 1

    async def _send_changes(
        self,
        connection: sockets.Connection,
        http: h11.Connection,
        prefix: str,
        end: str,
        next_revision: int,
    ) -> int:
        """Send the changes from ``next_revision`` on; return the next one to send."""
        changes = self.state.list_changes(prefix, end, next_revision)
        if not changes:
            return next_revision
        events: list[JsonObject] = []
        for row in changes:
            event: JsonObject = {"kv": _render_item(row.event.item)}
            if row.event.is_deleted:
                event["type"] = "DELETE"
            events.append(event)
        await _send_line(connection, http, self._with_header({"events": events}))
        return changes[-1].revision + 1


async def _send_line(
    connection: sockets.Connection, http: h11.Connection, result: JsonObject
) -> None:
    line = json.dumps({"result": result}).encode() + b"\n"
    await connection.send(http.send(h11.Data(data=line)) or b"")


def _render_item(item: store.KeyValue) -> JsonObject:
    row: JsonObject = {
        "key": base64.b64encode(item.key.encode()).decode(),
        "mod_revision": str(item.mod_revision),
    }
    if item.value:
        row["value"] = base64.b64encode(item.value).decode()
    if item.lease_id:
        row["lease"] = str(item.lease_id)
    return row


def _decode(encoded: str) -> str:
    return base64.b64decode(encoded).decode("utf-8", "replace")


async def run_store(address: settings.Address) -> None:
    """Serve an empty store at ``address`` until cancelled."""
    server = StoreServer(store_state.StoreState(), StoreFaults())
    listener = sockets.bind_tcp(address)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.expire_leases_forever)
        nursery.start_soon(sockets.accept_connections, listener, server.serve, 2000)


def run_program(arguments: Sequence[str] | None = None) -> int:
    """Run the store stand-in as a process."""
    parser = argparse.ArgumentParser(prog="umberdrum-store-standin")
    parser.add_argument("--listen", required=True, type=settings.parse_address)
    options = parser.parse_args(arguments)
    trio.run(run_store, options.listen)
    return 0


if __name__ == "__main__":
    sys.exit(run_program())
