"""Steps of all features: each part keeps its own beside its feature files."""

import importlib

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
    "routing",
    "settings",
    "store",
)

importlib.import_module("umberdrum.tests.system_steps")
for part in PARTS:
    importlib.import_module(f"umberdrum.{part}.tests.{part}_steps")
importlib.import_module("umberdrum.configuration.tests.snapshot_steps")
