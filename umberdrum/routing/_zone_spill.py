"""How much of a zone's calls leave the zone, and the router that sends them."""

import random
from collections.abc import Sequence
from typing import NamedTuple

from umberdrum.routing import _endpoint_stats, _finish_time, _router, _tracking

POLICY_NAME = "zone_spill"
# Calls at an endpoint for each of its slots. Above this, one of them often waits for a
# slot or runs beside enough others to be slowed, so that it may miss its target.
FULL_LOAD = 0.7
# Older loads say little about a load that shifts within seconds.
MAX_LOAD_AGE_SECONDS = 3.0
# Other zones may send calls to the same room, so that only a part of it is counted on.
USABLE_ROOM_SHARE = 0.5
MAX_SHARE = 0.9
# The share follows the loads within this time, so that loads which are reported late
# don't make it swing.
SHARE_SECONDS = 2.0
MIN_UPDATE_SECONDS = 0.05
DISCOVERY_SECONDS = 5.0
N_SAMPLED_AT_HOME = 4
N_SAMPLED_OUTSIDE = 5
# While all zones are equally full, the share rarely rises above this.
MIN_SHARE = 0.01
REASON_LATE = "late-at-home"
REASON_FULL = "home-full"
REASON_NONE_AT_HOME = "none-at-home"


class LateMargins(NamedTuple):
    """Margins of the choice to leave the zone for a call that may be late at home.

    A call may be late if its expected time, multiplied by ``safety_factor``, is longer
    than the time to its target. It leaves if it is expected to take more than
    ``gain_factor`` times as long at home as outside.
    """

    safety_factor: float
    gain_factor: float


USUAL_MARGINS = LateMargins(_finish_time.FINISH_TIME_SAFETY_FACTOR, 1.5)
# While a share leaves, the loads show that the home zone is fuller than the others. A
# small difference of two estimates is then seldom an error, and queues grow quickly.
FULL_HOME_MARGINS = LateMargins(2.0, 1.1)


class ZoneLoad(NamedTuple):
    """Calls at the endpoints of a zone, running and waiting, and their slots."""

    n_calls: float
    n_slots: float

    @property
    def load(self) -> float:
        """Calls for each slot."""
        return self.n_calls / self.n_slots if self.n_slots else 0.0


class SpillShare:
    """Share of the calls of one class that should leave the zone of their callers.

    Load pattern: the callers of one zone send more than its endpoints can serve in
    time, while other zones have room; later the load comes back. Calls stay at home
    until the home zone is full. Above that, the share is set so that the rest fills the
    home zone, as water fills a vessel before it runs over, and no more than the others
    have room for beside their own callers. It falls to 0 while the loads of the home
    zone are old, and if the other zones are full too.

    Many daemons see the same room at the same time. They don't all send their calls
    there, because each sends only its share, at random, and changes it slowly.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self._updated_at: float | None = None

    def update(self, home: ZoneLoad, outside: ZoneLoad, now: float) -> float:
        """Follow the loads of the home zone and of the others; return the share."""
        if self._updated_at is None:
            self._updated_at = now
        elapsed_seconds = now - self._updated_at
        if elapsed_seconds < MIN_UPDATE_SECONDS:
            return self.share
        self._updated_at = now
        wanted = self._compute_wanted(home, outside)
        weight = min(1.0, elapsed_seconds / SHARE_SECONDS)
        self.share += weight * (wanted - self.share)
        return self.share

    def _compute_wanted(self, home: ZoneLoad, outside: ZoneLoad) -> float:
        # The load of the home zone lacks the calls that leave it now.
        n_at_home = home.n_calls / (1.0 - min(self.share, MAX_SHARE))
        n_excess = n_at_home - FULL_LOAD * home.n_slots
        if n_excess <= 0.0:
            return 0.0
        n_sent = n_at_home - home.n_calls
        n_free = FULL_LOAD * outside.n_slots - outside.n_calls
        n_room = max(0.0, n_sent + USABLE_ROOM_SHARE * n_free)
        return min(MAX_SHARE, min(n_excess, n_room) / n_at_home)


class ZoneSpillRouter(_finish_time.FinishTimeRouter):
    """Keeps calls in the zone of their callers while it can serve them in time.

    Traffic between zones is slower and costs money. A call leaves its zone for one of
    three reasons: the zone is full and the call belongs to the share that leaves it; no
    endpoint at home is expected to finish it before it misses its target, and one
    outside is; or there is no endpoint left at home. Among the endpoints of the chosen
    zones, the one that is expected to finish first gets the call.

    Estimates of finish times are uncertain, and the best of several is more often one
    that is too low. Two things keep their errors below the differences that matter
    here: an endpoint without a recent report is taken to have the mean load of its own
    zone, since a full zone and the others differ; and deviations of the slowness that
    are within the spread of service times count for little.

    Loads come with responses and refusals, and with the gossip of the endpoints. In the
    first ``DISCOVERY_SECONDS`` neither loads nor service times are known, and after a
    power failure the endpoints of a zone come back one by one: calls are then sent to
    any zone, as by ``FinishTimeRouter``.
    """

    slowness_spread = 0.2

    def __init__(self, locality: _tracking.Locality, rng: random.Random) -> None:
        super().__init__(locality, rng)
        self._shares: dict[str, SpillShare] = {}
        self._mean_other_loads: dict[str, float] = {}
        self._began_at: float | None = None

    def get_share(self, class_name: str) -> float:
        """Return the share of the class's calls that leave the zone now."""
        state = self._shares.get(class_name)
        return state.share if state is not None else 0.0

    def choose(
        self,
        class_name: str,
        candidates: Sequence[_router.Candidate],
        excluded: frozenset[str],
        now: float,
        attributes: _router.CallAttributes = _router.DEFAULT_ATTRIBUTES,
    ) -> _router.RoutingDecision | None:
        """Return the endpoint that is expected to finish first, at home if it can."""
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at < DISCOVERY_SECONDS:
            return super().choose(class_name, candidates, excluded, now, attributes)
        eligible, are_all_limited = self._list_eligible(candidates, excluded, now)
        if not eligible:
            return None
        zone = self._locality.availability_zone
        home = [row for row in eligible if row.availability_zone == zone]
        outside = [row for row in eligible if row.availability_zone != zone]
        share = self._update_share(class_name, candidates, now)
        self._mean_other_loads = self._average_other_loads(candidates, now)
        typical_seconds = self._get_class_seconds(class_name)
        if home and outside:
            best_home = self._find_best(home, N_SAMPLED_AT_HOME, typical_seconds, now)
            best_outside = self._find_best(
                outside, N_SAMPLED_OUTSIDE, typical_seconds, now
            )
            is_leaving = self._rng.random() < share
            margins = FULL_HOME_MARGINS if share > MIN_SHARE else USUAL_MARGINS
            reason = _find_reason(
                best_home, best_outside, is_leaving, margins, attributes
            )
            chosen = best_outside if reason else best_home
        else:
            reason = REASON_NONE_AT_HOME if outside else None
            chosen = self._find_best(
                home or outside, _finish_time.N_SAMPLED, typical_seconds, now
            )
        is_large = attributes.n_body_bytes >= _finish_time.LARGE_BODY_BYTES
        return _router.RoutingDecision(
            chosen.candidate,
            chosen.seconds * _finish_time.MS_PER_SECOND,
            len(eligible),
            POLICY_NAME,
            self._get_report_age_ms(chosen.candidate, now),
            is_large and not reason and len(home) == 1,
            are_all_limited,
            reason,
        )

    def _find_best(
        self,
        candidates: list[_router.Candidate],
        n_sampled: int,
        typical_seconds: float,
        now: float,
    ) -> "_Estimate":
        """Return one of the nearly best of a few candidates, chosen at random.

        Without a tolerance, endpoints that are equal but for their last response would
        leave all calls to one of them while there are few.
        """
        estimates: list[_Estimate] = []
        for row in self._rng.sample(candidates, min(n_sampled, len(candidates))):
            seconds = self._estimate_finish_seconds(row, typical_seconds, now)
            estimates.append(_Estimate(row, seconds))
        threshold_seconds = (
            min(estimate.seconds for estimate in estimates)
            * _finish_time.TIE_TOLERANCE_FACTOR
            + _finish_time.TIE_TOLERANCE_SECONDS
        )
        # The sample is in random order, so taking the first match is unbiased.
        return next(row for row in estimates if row.seconds <= threshold_seconds)

    def _update_share(
        self, class_name: str, candidates: Sequence[_router.Candidate], now: float
    ) -> float:
        state = self._shares.get(class_name)
        if state is None:
            state = self._shares[class_name] = SpillShare()
        n_calls = {True: 0.0, False: 0.0}
        n_slots = {True: 0.0, False: 0.0}
        for row, stats in self._list_known_loads(candidates, now):
            if stats.report is None:
                continue
            is_home = row.availability_zone == self._locality.availability_zone
            n_calls[is_home] += stats.report.n_calls
            n_slots[is_home] += max(1, stats.report.slot_limit)
        return state.update(
            ZoneLoad(n_calls[True], n_slots[True]),
            ZoneLoad(n_calls[False], n_slots[False]),
            now,
        )

    def _list_known_loads(
        self, candidates: Sequence[_router.Candidate], now: float
    ) -> list[tuple[_router.Candidate, _endpoint_stats.EndpointStats]]:
        """Return the candidates whose last load report is not too old."""
        known: list[tuple[_router.Candidate, _endpoint_stats.EndpointStats]] = []
        for row in candidates:
            stats = self.get_endpoint_stats(row.key)
            if stats is None or stats.reported_at is None:
                continue
            if now - stats.reported_at > MAX_LOAD_AGE_SECONDS:
                continue
            known.append((row, stats))
        return known

    def _average_other_loads(
        self, candidates: Sequence[_router.Candidate], now: float
    ) -> dict[str, float]:
        """Return the mean number of other daemons' calls at an endpoint, by zone."""
        n_calls: dict[str, list[int]] = {}
        for row, stats in self._list_known_loads(candidates, now):
            n_calls.setdefault(row.availability_zone, []).append(stats.n_other_calls)
        return {zone: sum(row) / len(row) for zone, row in n_calls.items()}

    def _get_mean_other_load(self, candidate: _router.Candidate) -> float:
        return self._mean_other_loads.get(
            candidate.availability_zone, self._mean_other_load
        )


class _Estimate(NamedTuple):
    """Candidate with the seconds after which it is expected to finish a call."""

    candidate: _router.Candidate
    seconds: float


def _find_reason(
    home: _Estimate,
    outside: _Estimate,
    is_leaving: bool,
    margins: LateMargins,
    attributes: _router.CallAttributes,
) -> str | None:
    """Return why a call leaves its zone, None if it stays.

    A call that is expected to be late at home leaves if it is well in time outside. One
    that may be late leaves if it finishes so much sooner there as ``margins`` ask for;
    without that condition, the errors of the two estimates would send calls back and
    forth. A large body leaves for no other reason.
    """
    factor = _finish_time.FINISH_TIME_SAFETY_FACTOR
    is_outside_late = outside.seconds * factor > attributes.slack_seconds
    if home.seconds > attributes.slack_seconds and not is_outside_late:
        return REASON_LATE
    may_be_late = home.seconds * margins.safety_factor > attributes.slack_seconds
    if may_be_late and outside.seconds * margins.gain_factor < home.seconds:
        return REASON_LATE
    if attributes.n_body_bytes >= _finish_time.LARGE_BODY_BYTES:
        return None
    if is_leaving and not is_outside_late:
        return REASON_FULL
    return None
