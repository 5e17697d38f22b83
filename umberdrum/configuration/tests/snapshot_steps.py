"""Steps on saving, comparing and restoring snapshots."""

import behave
from behave import runner

from umberdrum import configuration
from umberdrum.configuration.tests import configuration_steps
from umberdrum.tests import harness


@behave.given('a snapshot of the classes "a" and "b"')
def set_class_names(context: runner.Context) -> None:
    context.names = ("a", "b")


async def _trigger_event(event: str, repository: configuration.ClassRepository) -> None:
    listed = (await repository.list_classes()).ok
    revisions = {row.request_class.name: row.revision for row in listed}
    build = configuration_steps.build_class
    if event == "a is changed":
        await repository.write_class(build("a", 70), revisions["a"])
    if event == "c is created":
        await repository.write_class(build("c", 50), 0)
    if event in ("b is deleted", "both are deleted"):
        await repository.delete_class("b", revisions["b"])
    if event == "both are deleted":
        await repository.delete_class("a", revisions["a"])


@behave.when('"{event}" and the snapshot is restored {how}')
def restore(context: runner.Context, event: str, how: str) -> None:
    async def run() -> None:
        async with harness.open_site() as site:
            repository = site.build_repository()
            for name in context.names:
                built = configuration_steps.build_class(name, 50)
                await repository.write_class(built, 0)
            manager = configuration.SnapshotManager(repository)
            raw = configuration.encode_snapshot((await manager.save()).ok)
            await _trigger_event(event, repository)
            snapshot = configuration.decode_snapshot(raw).ok
            context.differences = (await manager.compare(snapshot)).ok
            context.restore_result = await manager.restore(
                snapshot, "overwriting" in how
            )
            context.listed = (await repository.list_classes()).ok

    harness.run_on_virtual_clock(run)


@behave.then('the restore {result} and the store holds "{held}"')
def check_restore(context: runner.Context, result: str, held: str) -> None:
    found = "is refused"
    if context.restore_result.is_ok():
        found = "writes " + (", ".join(context.restore_result.ok.written) or "-")
    assert found == result, context.restore_result
    rows = [row.request_class for row in context.listed]
    listed = ", ".join(f"{row.name} {row.target.latency_ms}" for row in rows)
    assert listed == held, listed


@behave.then('the difference was "{difference}"')
def check_difference(context: runner.Context, difference: str) -> None:
    rows = [f"{row.name} {row.kind.value}" for row in context.differences]
    assert (", ".join(rows) or "-") == difference, rows


@behave.when('the file "{text}" is read as a snapshot')
def decode_file(context: runner.Context, text: str) -> None:
    context.decoded = configuration.decode_snapshot(text.encode())


@behave.then('it is refused as "{kind}"')
def check_refused(context: runner.Context, kind: str) -> None:
    assert context.decoded.is_error(), context.decoded
    assert context.decoded.error.kind.token == kind, context.decoded
