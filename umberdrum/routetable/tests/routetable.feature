Feature: Route tables

  Scenario Outline: The longest prefix of the host wins
    Given a table with the routes "/a/, /a/b/, /c/" of host "h1" and "/a/" of host "h2"
    Then host "<host>" and path "<path>" match the route "<route>"

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

  Scenario Outline: An invalid table is rejected with an error that names the field
    When a table is built from a route whose "<field>" is <value>
    Then it is rejected and the error contains "<detail>"

    Examples:
      | field             | value | detail   |
      | name              | "\ud800" | name   |
      | host              | ""    | host     |
      | path_prefix       | "/a"  | prefix   |
      | path_prefix       | "a/"  | prefix   |
      | shares            | []    | service  |
      | max_attempts      | 0     | attempts |
      | timeout_ms        | 0     | timeout  |
      | target_latency_ms | 0     | target   |
      | target_latency_ms | 1e10  | target   |
      | timeout_ms        | 1e10  | timeout  |
      | max_attempts      | 1e10  | attempts |
      | priority          | -1    | priority |
      | priority          | 1e10  | priority |

  Scenario Outline: An older table never replaces a newer one
    When documents with the versions "<versions>" arrive at the revisions "<revisions>"
    Then version <version> is active

    Examples:
      | versions      | revisions | version |
      | 3             | 1         | 3       |
      | 3, 5          | 1, 2      | 5       |
      | 5, 3          | 1, 2      | 5       |
      | 3, 5          | 2, 1      | 3       |
      | 3, broken     | 1, 2      | 3       |
      | 3, broken, 9  | 1, 2, 3   | 9       |
      | broken        | 1         | 0       |

  Scenario: A split route selects services in proportion to their weights
    Given a route split 90 to 10 between two services
    When 2000 calls are matched
    Then the service with the larger weight gets 87 to 93 % of them
