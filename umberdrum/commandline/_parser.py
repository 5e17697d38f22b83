"""Command-line arguments of the tool."""

import argparse

import umberdrum

EXAMPLES = """examples:
  umberdrum --store 10.0.0.5:2379 class create lookups --service cards \\
      --path /cards --method GET --idempotent --target-ms 50 --percentile 99
  umberdrum --store 10.0.0.5:2379 class set lookups --target-ms 40
  umberdrum --store 10.0.0.5:2379 class list --json
  umberdrum --store 10.0.0.5:2379 snapshot save classes.json
  umberdrum --admin 10.0.1.7:9901,10.0.2.7:9901 status
  umberdrum --admin 10.0.1.7:9901 drain
  umberdrum --store 10.0.0.5:2379 zone drain north-a
  umberdrum --admin 10.0.1.7:9901,10.0.2.7:9901 account usage --most 5
  umberdrum --admin 10.0.1.7:9901 explain cards GET /cards/17
  umberdrum --admin 10.0.1.7:9901 where api.example GET /cards/17 --account dairy
  umberdrum trace 9c41d07be2a35f68 a.log b.log

exit codes: 0 done, 1 failed, 2 invalid input, 3 another operator changed the class,
4 not found, 5 store does not answer and nothing was changed, 6 unknown whether the
change took effect, 7 daemon does not answer, 8 a target is missed (status --check)
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="umberdrum",
        description="Operators' tool of the umberdrum load balancer.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"umberdrum {umberdrum.__version__}"
    )
    _add_common(parser, is_top=True)
    commands = parser.add_subparsers(dest="command", required=True, metavar="command")
    _add_class_commands(commands)
    _add_snapshot_commands(commands)
    _add_zone_commands(commands)
    _add_account_commands(commands)
    status = commands.add_parser("status", help="show classes and endpoints")
    status.add_argument(
        "--check", action="store_true", help="exit with 8 when a target is missed"
    )
    _add_common(status)
    drain = commands.add_parser("drain", help="drain the upstream beside a daemon")
    drain.add_argument("--lift", action="store_true", help="cancel the drain")
    _add_common(drain)
    explain = commands.add_parser("explain", help="show how a call would be routed")
    explain.add_argument("service")
    explain.add_argument("method")
    explain.add_argument("path")
    _add_common(explain)
    where = commands.add_parser(
        "where", help="show where a request would go now, without sending it"
    )
    where.add_argument("host")
    where.add_argument("method")
    where.add_argument("path")
    where.add_argument("--account", default="", help="name of the client account")
    where.add_argument("--body-bytes", type=int, default=0, help="size of the body")
    _add_common(where)
    trace = commands.add_parser(
        "trace", help="show the log lines on one request, sorted by time"
    )
    trace.add_argument("request", help="id of the request")
    trace.add_argument("file", nargs="*", help="log files; - or none: standard input")
    trace.add_argument(
        "--prefix",
        action="store_true",
        help="include requests whose ids start with the given id",
    )
    trace.add_argument(
        "--json", action="store_true", default=argparse.SUPPRESS, help="print JSON"
    )
    return parser


def _add_common(parser: argparse.ArgumentParser, is_top: bool = False) -> None:
    """Add the options that are accepted both before and after the command."""
    default = None if is_top else argparse.SUPPRESS
    json_default = False if is_top else argparse.SUPPRESS
    group = parser.add_argument_group("common options")
    group.add_argument("--settings", default=default, help="INI file with [tool]")
    group.add_argument("--store", default=default, help="addresses of the store")
    group.add_argument("--admin", default=default, help="admin addresses of daemons")
    group.add_argument("--prefix", default=default, help="key prefix in the store")
    group.add_argument(
        "--json", action="store_true", default=json_default, help="print JSON"
    )


def _add_class_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    group = commands.add_parser("class", help="create, change and list classes")
    actions = group.add_subparsers(dest="action", required=True, metavar="action")
    create = actions.add_parser("create", help="create a class")
    create.add_argument("name")
    create.add_argument("--service", required=True)
    create.add_argument("--path", default="/", help="path prefix (default /)")
    create.add_argument("--method", action="append", default=[], help="may be repeated")
    kind = create.add_mutually_exclusive_group(required=True)
    kind.add_argument("--idempotent", action="store_true")
    kind.add_argument("--not-idempotent", action="store_true")
    create.add_argument("--target-ms", type=int, required=True)
    create.add_argument("--percentile", type=float, default=99.0)
    _add_common(create)
    change = actions.add_parser("set", help="change the target of a class")
    change.add_argument("name")
    change.add_argument("--target-ms", type=int)
    change.add_argument("--percentile", type=float)
    change.add_argument("--expect-revision", type=int, default=0)
    _add_common(change)
    listing = actions.add_parser("list", help="list all classes")
    _add_common(listing)
    show = actions.add_parser("show", help="show one class")
    show.add_argument("name")
    _add_common(show)
    delete = actions.add_parser("delete", help="delete a class")
    delete.add_argument("name")
    delete.add_argument("--expect-revision", type=int, default=0)
    _add_common(delete)


def _add_zone_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    group = commands.add_parser("zone", help="take zones out of service and back")
    actions = group.add_subparsers(dest="action", required=True, metavar="action")
    for name, text in (
        ("drain", "send nothing more to the endpoints of a zone"),
        ("restore", "return a zone to service"),
    ):
        action = actions.add_parser(name, help=text)
        action.add_argument("zone")
        _add_common(action)
    _add_common(actions.add_parser("list", help="list all zones"))


def _add_account_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    group = commands.add_parser("account", help="show client accounts")
    actions = group.add_subparsers(dest="action", required=True, metavar="action")
    _add_common(actions.add_parser("list", help="list accounts and allotments"))
    usage = actions.add_parser("usage", help="show the requests of accounts")
    usage.add_argument("--most", type=int, default=20, help="accounts (default 20)")
    _add_common(usage)
    show = actions.add_parser("show", help="show one account with its requests")
    show.add_argument("account")
    _add_common(show)


def _add_snapshot_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    group = commands.add_parser("snapshot", help="save, compare and restore classes")
    actions = group.add_subparsers(dest="action", required=True, metavar="action")
    for name, text in (
        ("save", "write all classes to a file"),
        ("diff", "show the differences between the store and a file"),
        ("restore", "write the classes of a file that the store lacks"),
    ):
        action = actions.add_parser(name, help=text)
        action.add_argument("file")
        if name == "restore":
            action.add_argument(
                "--overwrite",
                action="store_true",
                help="also write classes that changed since the snapshot",
            )
        _add_common(action)
