"""Steps of the features that test whole daemons."""

import behave
from behave import runner

from umberdrum.tests import call_scenarios, cluster_scenarios, fault_matrix, harness

SCENARIOS = {**call_scenarios.SCENARIOS, **cluster_scenarios.SCENARIOS}


@behave.when('"{faults}" is injected at the step "{step}"')
def run_matrix_cell(context: runner.Context, faults: str, step: str) -> None:
    fault_names = faults.split(" and ")

    async def run() -> None:
        await fault_matrix.run_cell(step, fault_names)

    harness.run_on_virtual_clock(run)
    context.is_cell_complete = True


@behave.then("every guarantee holds")
def check_cell(context: runner.Context) -> None:
    assert context.is_cell_complete


@behave.then("the steps of all features are loaded")
def check_steps(context: runner.Context) -> None:
    assert set(SCENARIOS) and set(fault_matrix.FAULTS)


@behave.then('the system scenario "{name}" passes')
def run_system_scenario(context: runner.Context, name: str) -> None:
    harness.run_on_virtual_clock(SCENARIOS[name])
