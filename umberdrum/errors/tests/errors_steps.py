"""Steps on error kinds and their HTTP responses."""

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


@behave.then("each error kind has a response")
def check_all_kinds(context: runner.Context) -> None:
    for kind in errors.ErrorKind:
        response = errors.ERROR_RESPONSES[kind]
        assert 400 <= response.status <= 599, kind
        assert response.proxy_error in PROXY_ERRORS, kind
    assert len(errors.ERROR_RESPONSES) == len(errors.ErrorKind)


@behave.when('a failure of kind "{kind}" with execution "{execution}" is rendered')
def render_kind(context: runner.Context, kind: str, execution: str) -> None:
    state = errors.Execution[execution.upper().replace("-", "_")]
    failure = errors.fail(errors.ErrorKind[kind], "detail", state)
    context.problem = errors.render_problem(failure, "127.0.0.1:1", "id-1")


@behave.when("a failure with a retry delay of {ms:d} ms is rendered")
def render_retry_after(context: runner.Context, ms: int) -> None:
    failure = errors.Failure(
        errors.ErrorKind.OVERLOADED, errors.Execution.NOT_RUN, "full", ms
    )
    context.problem = errors.render_problem(failure, "127.0.0.1:1", "")


@behave.then("the response status is {status:d}")
def check_status(context: runner.Context, status: int) -> None:
    assert context.problem.status == status, context.problem


@behave.then('the header field "{name}" is "{value}"')
def check_field(context: runner.Context, name: str, value: str) -> None:
    fields = dict(context.problem.headers)
    assert fields[name.encode()] == value.encode(), fields


@behave.then('the problem body has kind "{kind}" and execution "{execution}"')
def check_body(context: runner.Context, kind: str, execution: str) -> None:
    document = json.loads(context.problem.body)
    assert document["kind"] == kind, document
    assert document["execution"] == execution, document
    assert document["status"] == context.problem.status, document


@behave.then('a failure of "{kind}" with "{execution}" gets the status {status:d}')
def check_response_status(
    context: runner.Context, kind: str, execution: str, status: int
) -> None:
    response = errors.get_error_response(
        errors.ErrorKind[kind], errors.Execution[execution]
    )
    assert response.status == status, response
