Feature: Classes and the catalog

  Scenario Outline: An invalid class is refused with its first fault
    When a class has "<field>" of "<value>"
    Then it is refused with "<fault>"

    Examples:
      | field       | value   | fault                    |
      | name        | Big     | name: expected           |
      | service     | 9x      | service: expected        |
      | methods     | get     | methods: expected        |
      | path_prefix | cards   | path: expected           |
      | latency_ms  | 0       | target latency: expected |
      | latency_ms  | 600001  | target latency: expected |
      | percentile  | 49.9    | target percentile        |
      | percentile  | 100     | target percentile        |

  Scenario: A stored class comes back as it was
    Then documents of 200 random classes decode to the same class

  Scenario: Documents that are damaged never raise
    Then 2000 damaged documents are refused or decode to a valid class

  Scenario Outline: The longest path prefix wins, after paths are brought to normal form
    Given the classes "/" and "/cards" and "/payments" of one service
    When the target "<target>" is matched
    Then the class is "<class>"

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
    Then merging random catalogs follows the laws and never lowers a revision

  Scenario Outline: Values follow from the target
    When a class has a target of <ms> ms and is "<kind>"
    Then its deadline is <deadline> ms, it is hedged after <hedge> ms and queued at most <queue> ms

    Examples:
      | ms     | kind           | deadline | hedge | queue |
      | 50     | idempotent     | 1000     | 25    | 25    |
      | 500    | idempotent     | 4000     | 250   | 250   |
      | 500    | not idempotent | 4000     | 0     | 250   |
      | 600000 | idempotent     | 900000   | 300000 | 300000 |
