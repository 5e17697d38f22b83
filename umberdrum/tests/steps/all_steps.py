"""Steps of all features: each part keeps its own beside its feature files."""

import importlib
import pathlib
import sys

PARTS = (
    "admission",
    "announcements",
    "callpath",
    "classes",
    "commandline",
    "configuration",
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
)

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent

importlib.import_module("umberdrum.tests.system_steps")
for part in PARTS:
    importlib.import_module(f"umberdrum.{part}.tests.{part}_steps")
importlib.import_module("umberdrum.configuration.tests.snapshot_steps")
importlib.import_module("umberdrum_bench.soak.tests.soak_steps")
importlib.import_module("umberdrum.admission.tests.target_gate_steps")
# The adapter lies outside the library, in a folder that must not be a package: it would
# hide the standard library's module of the same name.
sys.path.append(str(ROOT / "platform"))
importlib.import_module("adapter.tests.adapter_steps")
importlib.import_module("adapter.tests.contact_steps")
importlib.import_module("adapter.tests.platform_configuration_steps")
importlib.import_module("adapter.tests.platform_pipeline_steps")
importlib.import_module("adapter.tests.platform_availability_steps")
importlib.import_module("adapter.tests.platform_startup_steps")
importlib.import_module("adapter.tests.platform_steps")
importlib.import_module("adapter.tests.recovery_steps")
