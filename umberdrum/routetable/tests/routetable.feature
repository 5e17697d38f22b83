Feature: Route tables

  Scenario Outline: The longest prefix of the host wins
    Given a table with the routes "/a/, /a/b/, /c/" of host "h1" and "/a/" of host "h2"
    Then "<host>" with "<path>" belongs to "<route>"

    Examples:
      | host | path     | route   |
      | h1   | /a/      | h1/a/   |
      | h1   | /a/x     | h1/a/   |
      | h1   | /a/b     | h1/a/   |
      | h1   | /a/b/    | h1/a/b/ |
      | h1   | /a/b/c/d | h1/a/b/ |
      | h1   | /a       | none    |
      | h1   | /        | none    |
      | h1   | /b/a/    | none    |
      | h2   | /a/b/c   | h2/a/   |
      | h2   | /c/      | none    |
      | h3   | /a/      | none    |

  Scenario Outline: An inconsistent table is refused, and the fault is named
    When a table is checked whose route has "<field>" as <value>
    Then it is refused and "<detail>" is named

    Examples:
      | field             | value | detail   |
      | host              | ""    | host     |
      | path_prefix       | "/a"  | prefix   |
      | path_prefix       | "a/"  | prefix   |
      | shares            | []    | service  |
      | max_attempts      | 0     | attempts |
      | timeout_ms        | 0     | timeout  |
      | target_latency_ms | 0     | target   |

  Scenario Outline: A source never goes back
    When documents with the versions "<versions>" come at the revisions "<revisions>"
    Then version <version> is in force

    Examples:
      | versions      | revisions | version |
      | 3             | 1         | 3       |
      | 3, 5          | 1, 2      | 5       |
      | 5, 3          | 1, 2      | 5       |
      | 3, 5          | 2, 1      | 3       |
      | 3, broken     | 1, 2      | 3       |
      | 3, broken, 9  | 1, 2, 3   | 9       |
      | broken        | 1         | 0       |

  Scenario: A split route draws services in proportion to the weights
    Given a route split 90 to 10 between two services
    When 2000 calls are matched
    Then the larger part gets 87 to 93 % of them
