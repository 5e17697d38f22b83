Feature: Error kinds and their HTTP responses

  Scenario: Every kind has a response with a status of RFC 9110 and a Proxy-Status error
    Then each error kind has a response

  Scenario Outline: An error response states the error kind and the execution state
    When a failure of kind "<kind>" with execution "<execution>" is rendered
    Then the response status is <status>
    And the header field "umberdrum-error" is "<token>"
    And the header field "umberdrum-execution" is "<execution>"
    And the problem body has kind "<token>" and execution "<execution>"

    Examples:
      | kind                | execution    | status | token               |
      | OVERLOADED          | not-run      | 503    | overloaded          |
      | OUTCOME_UNKNOWN     | may-have-run | 504    | outcome-unknown     |
      | MALFORMED_REQUEST   | not-run      | 400    | malformed-request   |
      | DUPLICATE_REQUEST   | ran          | 409    | duplicate-request   |
      | DEADLINE_EXCEEDED   | may-have-run | 504    | deadline-exceeded   |

  Scenario Outline: Retry-After is rounded up to whole seconds
    When a failure with a retry delay of <ms> ms is rendered
    Then the header field "retry-after" is "<seconds>"

    Examples:
      | ms   | seconds |
      | 1    | 1       |
      | 1000 | 1       |
      | 1001 | 2       |

  Scenario Outline: A status never implies more than is known about the execution
    Then a failure of "<kind>" with "<execution>" gets the status <status>

    Examples:
      | kind                    | execution    | status |
      | OVERLOADED              | NOT_RUN      | 503    |
      | OVERLOADED              | MAY_HAVE_RUN | 502    |
      | UPSTREAM_UNREACHABLE    | NOT_RUN      | 503    |
      | UPSTREAM_BROKE_OFF      | MAY_HAVE_RUN | 502    |
      | DEADLINE_EXCEEDED       | NOT_RUN      | 503    |
      | DEADLINE_EXCEEDED       | MAY_HAVE_RUN | 504    |
      | CALLER_GONE             | RAN          | 502    |
      | NO_ROUTES_YET           | NOT_RUN      | 503    |
      | UNKNOWN_ROUTE           | NOT_RUN      | 404    |
      | UPSTREAM_SLOWED         | NOT_RUN      | 503    |
      | RATE_LIMITED            | NOT_RUN      | 503    |
      | REQUEST_CRASHES_UPSTREAMS | NOT_RUN    | 503    |
