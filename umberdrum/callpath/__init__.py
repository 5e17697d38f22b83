"""Path of a call from its caller to an upstream, and of the response back.

The entry daemon accepts the request of a caller (the HTTP client) and chooses the
endpoint for each attempt. The endpoint daemon runs next to the upstream and forwards
the request to it. Both roles may be played by the same daemon.
"""

from umberdrum.callpath._account_check import identify_account
from umberdrum.callpath._announcement import EndpointState, UpstreamAnnouncement
from umberdrum.callpath._body_buffer import BodyBuffer
from umberdrum.callpath._call import (
    BodyLostError,
    Call,
    CallReport,
    HttpResponseHead,
    RequestBody,
    ResponseSink,
    SinkLostError,
    WholeBody,
)
from umberdrum.callpath._caller import CallerServer
from umberdrum.callpath._caller_exchange import CallerLimits
from umberdrum.callpath._cold_start import ColdStart, parse_cold_ms
from umberdrum.callpath._dialect import OWN_DIALECT, Dialect
from umberdrum.callpath._directory import EndpointDirectory
from umberdrum.callpath._endpoint import EndpointService
from umberdrum.callpath._entry import EntryOutcome, EntryService, IncomingRequest
from umberdrum.callpath._frames import decode_load, encode_load
from umberdrum.callpath._headers import (
    CallFields,
    filter_request_headers,
    filter_response_headers,
    get_header,
    is_visible_text,
    read_call_fields,
)
from umberdrum.callpath._liveness import LivenessWatch
from umberdrum.callpath._matching import CallMatcher, ClassMatcher, RouteMatcher
from umberdrum.callpath._paths import normalize_path
from umberdrum.callpath._peer_client import PeerClient
from umberdrum.callpath._peer_server import PeerServer
from umberdrum.callpath._prober import HealthPathSource, UpstreamProber
from umberdrum.callpath._sinks import ForwardingSink, TrackingSink
from umberdrum.callpath._statistics import (
    LATENCY_BUCKETS_SECONDS,
    CallStatistics,
    LatencyHistogram,
    TargetReport,
)
from umberdrum.callpath._stop_period import build_stop_period
from umberdrum.callpath._sync import Synchronizer
from umberdrum.callpath._upstream import (
    UpstreamConnection,
    UpstreamFailureError,
    UpstreamPool,
)
from umberdrum.callpath._upstream_load import UpstreamLoad, parse_upstream_load

__all__ = [
    "LATENCY_BUCKETS_SECONDS",
    "OWN_DIALECT",
    "BodyBuffer",
    "BodyLostError",
    "Call",
    "CallFields",
    "CallMatcher",
    "CallReport",
    "CallStatistics",
    "CallerLimits",
    "CallerServer",
    "ClassMatcher",
    "ColdStart",
    "Dialect",
    "EndpointDirectory",
    "EndpointService",
    "EndpointState",
    "EntryOutcome",
    "EntryService",
    "ForwardingSink",
    "HealthPathSource",
    "HttpResponseHead",
    "IncomingRequest",
    "LatencyHistogram",
    "LivenessWatch",
    "PeerClient",
    "PeerServer",
    "RequestBody",
    "ResponseSink",
    "RouteMatcher",
    "SinkLostError",
    "Synchronizer",
    "TargetReport",
    "TrackingSink",
    "UpstreamAnnouncement",
    "UpstreamConnection",
    "UpstreamFailureError",
    "UpstreamLoad",
    "UpstreamPool",
    "UpstreamProber",
    "WholeBody",
    "build_stop_period",
    "decode_load",
    "encode_load",
    "filter_request_headers",
    "filter_response_headers",
    "get_header",
    "identify_account",
    "is_visible_text",
    "normalize_path",
    "parse_cold_ms",
    "parse_upstream_load",
    "read_call_fields",
]
