"""Loads the steps of all features; each package keeps its own beside its features."""

import importlib
import pathlib
import sys

PACKAGES = (
    "accounts",
    "admission",
    "allotments",
    "announcements",
    "callpath",
    "classes",
    "commandline",
    "configuration",
    "controlhttp",
    "crashes",
    "daemon",
    "errors",
    "gossip",
    "logs",
    "measuring",
    "membership",
    "outcomes",
    "peerlink",
    "retries",
    "routetable",
    "routing",
    "settings",
    "startup",
    "store",
    "supervision",
    "zones",
)

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent

importlib.import_module("umberdrum.tests.handover_steps")
importlib.import_module("umberdrum.tests.system_steps")
for package in PACKAGES:
    importlib.import_module(f"umberdrum.{package}.tests.{package}_steps")
importlib.import_module("umberdrum.configuration.tests.snapshot_steps")
importlib.import_module("umberdrum_bench.soak.tests.soak_steps")
importlib.import_module("umberdrum.daemon.tests.partial_catalog_steps")
importlib.import_module("umberdrum.daemon.tests.stop_signals_steps")
importlib.import_module("umberdrum.admission.tests.rate_limit_steps")
importlib.import_module("umberdrum.admission.tests.cold_limit_steps")
importlib.import_module("umberdrum.routing.tests.zone_spill_steps")
importlib.import_module("umberdrum.admission.tests.fair_share_steps")
importlib.import_module("umberdrum.admission.tests.target_gate_steps")
importlib.import_module("umberdrum.callpath.tests.closing_steps")
importlib.import_module("umberdrum.callpath.tests.cut_response_steps")
importlib.import_module("umberdrum.callpath.tests.deadlines_steps")
importlib.import_module("umberdrum.callpath.tests.hostile_steps")
importlib.import_module("umberdrum.callpath.tests.late_requests_steps")
importlib.import_module("umberdrum.callpath.tests.peer_stop_steps")
importlib.import_module("umberdrum.callpath.tests.proper_requests_steps")
importlib.import_module("umberdrum.callpath.tests.repeated_refusal_steps")
importlib.import_module("umberdrum.daemon.tests.process_end_steps")
# The adapter is outside the library, in a folder that must not be a package: a package
# of that name would shadow the standard library's module ``platform``.
sys.path.append(str(ROOT / "platform"))
importlib.import_module("adapter.tests.account_steps")
importlib.import_module("adapter.tests.adapter_steps")
importlib.import_module("adapter.tests.configuration_spread_steps")
importlib.import_module("adapter.tests.contact_steps")
importlib.import_module("adapter.tests.faulty_responses_steps")
importlib.import_module("adapter.tests.late_routes_steps")
importlib.import_module("adapter.tests.platform_configuration_steps")
importlib.import_module("adapter.tests.platform_pipeline_steps")
importlib.import_module("adapter.tests.platform_availability_steps")
importlib.import_module("adapter.tests.platform_startup_steps")
importlib.import_module("adapter.tests.odd_entries_steps")
importlib.import_module("adapter.tests.planned_stop_steps")
importlib.import_module("adapter.tests.platform_steps")
importlib.import_module("adapter.tests.stop_load_steps")
importlib.import_module("adapter.tests.recovery_steps")
importlib.import_module("adapter.tests.restore_steps")
importlib.import_module("adapter.tests.upstream_crash_steps")
importlib.import_module("adapter.tests.upstream_notices_steps")
importlib.import_module("adapter.tests.version_order_steps")
importlib.import_module("adapter.tests.zone_drain_steps")
