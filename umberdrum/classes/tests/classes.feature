Feature: Classes and the catalog

  Scenario Outline: An invalid class is rejected with its first error
    When a class has "<field>" of "<value>"
    Then it is rejected with "<error>"

    Examples:
      | field       | value   | error                    |
      | name        | Big     | name: expected           |
      | service     | 9x      | service: expected        |
      | methods     | get     | methods: expected        |
      | path_prefix | cards   | path: expected           |
      | latency_ms  | 0       | target latency: expected |
      | latency_ms  | 600001  | target latency: expected |
      | percentile  | 49.9    | target percentile        |
      | percentile  | 100     | target percentile        |

  Scenario: A stored class is read back unchanged
    Then the documents of 200 random classes decode to equal classes

  Scenario: Decoding a corrupted document never raises
    Then 2000 corrupted documents fail to decode or give a valid class

  Scenario Outline: The longest prefix of the normalized path selects the class
    Given the classes "/" and "/cards" and "/payments" of one service
    When the request target "<target>" is matched
    Then the matched class is "<class>"

    Examples:
      | target                        | class    |
      | /                             | any      |
      | /cards/1                      | cards    |
      | /cards/../payments            | payments |
      | /cards/%2e%2e/payments        | payments |
      | //payments                    | payments |
      | /./payments                   | payments |
      | /%70ayments                   | payments |
      | http://x/payments?a=/cards    | payments |
      | /cards?next=/payments         | cards    |

  Scenario: Merging catalogs is commutative, associative and idempotent
    Then merging random catalogs has these properties and lowers no revision

  # Daemons that had missed a change without a version did not know that they had.
  Scenario Outline: A catalog that lacks <lacked> has a lower position
    Given a catalog with version 43 at revision 100 and two documents without a version
    Then the same catalog without <lacked> has a lower position

    Examples:
      | lacked                                |
      | its latest document without a version |
      | the latest change of that document    |
      | its versioned document                |
      | an earlier document without a version |
      | a change of that earlier document     |

  Scenario Outline: The call policy is derived from the target
    When a class that is "<kind>" has a target of <ms> ms
    Then its deadline is <deadline> ms, its hedging delay <hedge> ms and its longest queueing time <queue> ms

    Examples:
      | ms     | kind           | deadline | hedge | queue |
      | 50     | idempotent     | 1000     | 25    | 25    |
      | 500    | idempotent     | 4000     | 250   | 250   |
      | 500    | not idempotent | 4000     | 0     | 250   |
      | 600000 | idempotent     | 900000   | 300000 | 300000 |
