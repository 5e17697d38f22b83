Feature: Error kinds and answers

  Scenario: Every kind has an answer with a status of RFC 9110 and a Proxy-Status error
    Then each error kind has an answer

  Scenario Outline: A refusal tells its kind and what is known of the execution
    When a failure of kind "<kind>" with execution "<execution>" is rendered
    Then the status is <status>
    And the field "umberdrum-error" is "<token>"
    And the field "umberdrum-execution" is "<execution>"
    And the body names kind "<token>" and execution "<execution>"

    Examples:
      | kind                | execution    | status | token               |
      | OVERLOADED          | not-run      | 503    | overloaded          |
      | OUTCOME_UNKNOWN     | may-have-run | 504    | outcome-unknown     |
      | MALFORMED_REQUEST   | not-run      | 400    | malformed-request   |
      | DUPLICATE_REQUEST   | ran          | 409    | duplicate-request   |
      | DEADLINE_EXCEEDED   | may-have-run | 504    | deadline-exceeded   |

  Scenario Outline: The time to come back is rounded up to whole seconds
    When a failure asks to come back after <ms> ms
    Then the field "retry-after" is "<seconds>"

    Examples:
      | ms   | seconds |
      | 1    | 1       |
      | 1000 | 1       |
      | 1001 | 2       |

  Scenario Outline: A status promises nothing that is not known
    Then "<kind>" with "<execution>" is answered with <status>

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
