"""Random requests of a soak's callers, in many proper forms."""

import random
from collections.abc import Sequence

from umberdrum_bench import caller
from umberdrum_bench.soak import _documents

DEADLINE_MS = 2000.0
# Passed when the request is read, or soon after it.
SHORT_DEADLINES_MS = (1.0, 1.5, 2.0, 2.75, 3.0)
SHORT_DEADLINE_SHARE = 0.05
FRACTION_SHARE = 0.1
HOST_PORT_SHARE = 0.1
HOST_PORTS = (":80", ":8080", ":")
ABSOLUTE_SHARE = 0.1
CHUNKED_SHARE = 0.2
CHUNK_BYTES = (100, 16_384, 70_000)
PIPELINED_SHARE = 0.25
MAX_PIPELINED_REQUESTS = 3


class RequestSource:
    """Draws requests; several are to be sent on one connection, without waiting."""

    def __init__(self, seed: int, plans: Sequence[_documents.ClassPlan]) -> None:
        self._rng = random.Random(f"requests {seed}")
        self._plans = plans
        self._n_requests = 0

    def draw_pipeline(
        self, plan: _documents.ClassPlan
    ) -> list[tuple[_documents.ClassPlan, caller.CallerRequest]]:
        """Return a request of a class, and those of any class that follow uploads."""
        drawn = [(plan, self._draw_request(plan))]
        is_pipelined = self._rng.random() < PIPELINED_SHARE
        if not is_pipelined or plan.n_body_bytes <= caller.BODY_CHUNK_BYTES:
            return drawn
        for _ in range(self._rng.randrange(1, MAX_PIPELINED_REQUESTS)):
            row = self._rng.choice(self._plans)
            drawn.append((row, self._draw_request(row)))
        return drawn

    def _draw_request(self, plan: _documents.ClassPlan) -> caller.CallerRequest:
        rng = self._rng
        self._n_requests += 1
        deadline_ms = DEADLINE_MS
        if rng.random() < FRACTION_SHARE:
            deadline_ms -= rng.random()
        if rng.random() < SHORT_DEADLINE_SHARE:
            deadline_ms = rng.choice(SHORT_DEADLINES_MS)
        is_chunked = plan.n_body_bytes and rng.random() < CHUNKED_SHARE
        return caller.CallerRequest(
            plan.service,
            plan.method,
            f"{plan.path}/{self._n_requests}",
            f"soak-{rng.getrandbits(64):016x}",
            f"{plan.name}-{self._n_requests}",
            rng.randbytes(plan.n_body_bytes),
            deadline_ms,
            chunk_bytes=rng.choice(CHUNK_BYTES) if is_chunked else 0,
            host_suffix=rng.choice(HOST_PORTS)
            if rng.random() < HOST_PORT_SHARE
            else "",
            is_absolute=rng.random() < ABSOLUTE_SHARE,
        )
