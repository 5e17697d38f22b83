"""Steps for a daemon that has a part of the classes."""

import behave
import trio
from behave import runner

from umberdrum import classes
from umberdrum.tests import harness

# By then the classes of the start are no longer sent in datagrams.
CALM_SECONDS = 60.0
SPREAD_SECONDS = 0.05
N_CALLS = 20
CALL_INTERVAL_SECONDS = 0.05
DEADLINE_MS = 300


@behave.given('2 daemons with the classes of "{first}" and "{second}", seed {seed:d}')
def choose_services(
    context: runner.Context, first: str, second: str, seed: int
) -> None:
    context.services = (first, second)
    context.seed = seed


@behave.when(
    'the class of "{service}" changes while the store fails and no link can be opened'
)
def choose_change(context: runner.Context, service: str) -> None:
    context.changed = service


@behave.when("a daemon starts that gets datagrams only")
def start_without_links(context: runner.Context) -> None:
    async def play() -> set[int]:
        async with harness.open_site(context.seed) as site:
            for service in context.services:
                await site.create_class(service, service)
            for _ in range(2):
                await site.add_node(context.services[0], has_link=True)
            await site.wait_until_known(len(context.services))
            await trio.sleep(CALM_SECONDS)
            for node in site.nodes:
                assert node.link is not None
                node.link.is_refusing = True
            await _change_class(site, context.changed)
            await trio.sleep(SPREAD_SECONDS)
            site.faults.is_down = True
            seeds = tuple(node.settings.peer_advertise for node in site.nodes)
            entry = await site.add_node(context.services[0], seeds=seeds)
            return await _call_repeatedly(site, entry, context.services[0])

    context.statuses = harness.run_on_virtual_clock(play)


@behave.then('it refuses calls for "{service}" with status {status:d}')
def check_status(context: runner.Context, service: str, status: int) -> None:
    assert service == context.services[0]
    assert context.statuses == {status}, context.statuses


async def _change_class(site: harness.Site, service: str) -> None:
    repository = site.build_repository()
    found = await repository.get_class(service)
    assert found.is_ok() and found.ok is not None, found
    changed = classes.RequestClass(
        service, service, (), "/", True, classes.Target(300, 99.0), "later"
    )
    written = await repository.write_class(changed, found.ok.revision)
    assert written.is_ok(), written


async def _call_repeatedly(
    site: harness.Site, entry: harness.Node, service: str
) -> set[int]:
    """Return the statuses that calls get one after the other."""
    statuses: set[int] = set()
    for number in range(N_CALLS):
        answer = await site.call(entry, service, f"{number}", deadline_ms=DEADLINE_MS)
        statuses.add(answer.status)
        await trio.sleep(CALL_INTERVAL_SECONDS)
    return statuses
