"""Steps on error kinds and answers."""

import json

import behave
from behave import runner

from umberdrum import errors

PROXY_ERRORS = frozenset(
    (
        "connection_limit_reached",
        "connection_refused",
        "connection_terminated",
        "connection_timeout",
        "destination_not_found",
        "destination_unavailable",
        "http_protocol_error",
        "http_request_denied",
        "http_request_error",
        "http_response_timeout",
        "proxy_internal_error",
    )
)


@behave.then("each error kind has an answer")
def check_all_kinds(context: runner.Context) -> None:
    for kind in errors.ErrorKind:
        answer = errors.ERROR_RESPONSES[kind]
        assert 400 <= answer.status <= 599, kind
        assert answer.proxy_error in PROXY_ERRORS, kind
    assert len(errors.ERROR_RESPONSES) == len(errors.ErrorKind)


@behave.when('a failure of kind "{kind}" with execution "{execution}" is rendered')
def render_kind(context: runner.Context, kind: str, execution: str) -> None:
    known = errors.Execution[execution.upper().replace("-", "_")]
    failure = errors.fail(errors.ErrorKind[kind], "found it", known)
    context.problem = errors.render_problem(failure, "127.0.0.1:1", "id-1")


@behave.when("a failure asks to come back after {ms:d} ms")
def render_retry_after(context: runner.Context, ms: int) -> None:
    failure = errors.Failure(
        errors.ErrorKind.OVERLOADED, errors.Execution.NOT_RUN, "full", ms
    )
    context.problem = errors.render_problem(failure, "127.0.0.1:1", "")


@behave.then("the status is {status:d}")
def check_status(context: runner.Context, status: int) -> None:
    assert context.problem.status == status, context.problem


@behave.then('the field "{name}" is "{value}"')
def check_field(context: runner.Context, name: str, value: str) -> None:
    fields = dict(context.problem.headers)
    assert fields[name.encode()] == value.encode(), fields


@behave.then('the body names kind "{kind}" and execution "{execution}"')
def check_body(context: runner.Context, kind: str, execution: str) -> None:
    document = json.loads(context.problem.body)
    assert document["kind"] == kind, document
    assert document["execution"] == execution, document
    assert document["status"] == context.problem.status, document


@behave.then('"{kind}" with "{execution}" is answered with {status:d}')
def check_promise(
    context: runner.Context, kind: str, execution: str, status: int
) -> None:
    found = errors.get_error_response(
        errors.ErrorKind[kind], errors.Execution[execution]
    )
    assert found.status == status, found
