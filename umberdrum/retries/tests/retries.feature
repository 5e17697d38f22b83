Feature: Retries are made only when safe, and their number is bounded

  Scenario Outline: Failures after which a request may be retried
    Then after "<kind>" with "<execution>" a "<request>" request may be retried: <answer>

    Examples:
      | kind               | execution    | request        | answer |
      | OVERLOADED         | NOT_RUN      | idempotent     | yes    |
      | OVERLOADED         | NOT_RUN      | non-idempotent | yes    |
      | LINK_BROKE         | MAY_HAVE_RUN | idempotent     | yes    |
      | LINK_BROKE         | MAY_HAVE_RUN | non-idempotent | no     |
      | UPSTREAM_BROKE_OFF | RAN          | non-idempotent | no     |
      | UPSTREAM_BROKE_OFF | MAY_HAVE_RUN | idempotent     | yes    |
      | OUTCOME_UNKNOWN    | MAY_HAVE_RUN | idempotent     | no     |
      | REQUEST_BARRED     | NOT_RUN      | non-idempotent | no     |
      | DEADLINE_EXCEEDED  | MAY_HAVE_RUN | idempotent     | no     |
      | CALLER_GONE        | RAN          | idempotent     | no     |
      | ENDPOINT_LEAVING   | NOT_RUN      | non-idempotent | yes    |

  Scenario Outline: The calls of a failing chain are bounded at any depth
    When every call of a chain of depth <depth> fails and is retried as often as allowed
    Then the last service gets at most <calls> calls for one call at the top

    Examples:
      | depth | calls |
      | 1     | 3     |
      | 2     | 4     |
      | 5     | 4     |
      | 9     | 4     |

  Scenario: Extra attempts stay close to a tenth of calls when all calls fail
    When 1000 calls each request 2 extra attempts
    Then between 90 and 115 extra attempts are made

  Scenario Outline: All daemons together stay within a shared limit
    Given <daemons> daemons that share <extra> extra attempts and a share of 0.2
    When each sends <calls> calls in ten seconds that all request a second attempt
    Then together they make at most <most> extra attempts

    Examples:
      | daemons | extra | calls | most  |
      | 11      | 62    | 100   | 282   |
      | 84      | 208   | 50    | 1048  |
      | 560     | 1000  | 600   | 68200 |
      | 1       | 62    | 1000  | 262   |

  Scenario: A daemon that forgets the others does not take a larger part
    Given 11 daemons that share 62 extra attempts and a share of 0.2
    When the first of them forgets the other 10
    Then the maximum of its budget is unchanged
