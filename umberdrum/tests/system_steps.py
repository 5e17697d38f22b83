"""Steps of the features on whole daemons."""

import behave
from behave import runner

from umberdrum.tests import call_scenes, fleet_scenes, harness, matrix

SCENES = {**call_scenes.SCENES, **fleet_scenes.SCENES}


@behave.when('"{faults}" meets the step "{step}"')
def run_matrix_cell(context: runner.Context, faults: str, step: str) -> None:
    names = faults.split(" and ")

    async def run() -> None:
        await matrix.run_cell(step, names)

    harness.run_on_virtual_clock(run)
    context.is_cell_done = True


@behave.then("every promise holds")
def check_cell(context: runner.Context) -> None:
    assert context.is_cell_done


@behave.then("the steps of all features are loaded")
def check_steps(context: runner.Context) -> None:
    assert set(SCENES) and set(matrix.FAULTS)


@behave.then('the scene "{name}" holds')
def run_scene(context: runner.Context, name: str) -> None:
    harness.run_on_virtual_clock(SCENES[name])
