Feature: Membership

  Scenario: Merging is commutative, associative, idempotent and never goes back
    Then merging random records follows the laws and never goes back

  Scenario Outline: A daemon answers what others claim of it
    Given the own record at incarnation 3 and version 5
    When a record under its id arrives: "<claim>"
    Then the own record is at incarnation <incarnation>, newer than the claim and live

    Examples:
      | claim                 | incarnation |
      | suspected             | 3           |
      | other process, newer  | 8           |
      | other process, final  | 4           |
      | older                 | 3           |

  Scenario: An endpoint that was draining serves again only as a new incarnation
    Given the own record at incarnation 3 and version 5
    When it drains and serves again
    Then the own record is at incarnation 4, newer than the claim and live

  Scenario Outline: What is not known before is taken only if it is live
    When a record that is "<state>" arrives for an unknown endpoint
    Then it is <result>

    Examples:
      | state     | result  |
      | live      | kept    |
      | suspected | dropped |
      | final     | dropped |

  Scenario Outline: Dead records are forgotten after a while, and digests agree meanwhile
    When a known endpoint becomes "<state>"
    Then the digest is that of a table without it
    And it is forgotten after <seconds> s but not before

    Examples:
      | state     | seconds |
      | final     | 120     |
      | suspected | 900     |

  Scenario: A replacement at the same address is preferred by the answer it must give
    Given a table that holds a record of an earlier process at an address
    When a daemon of another process speaks from this address
    Then it is told of the earlier record, until its own is newer

  Scenario: Damaged records never raise
    Then 2000 damaged record messages are refused or decode to a record

  Scenario Outline: Subsets are bounded, even and stable
    Given a service of <endpoints> endpoints used by 560 daemons
    Then each daemon uses <used> of them
    And each endpoint is used by <low> to <high> daemons
    And an endpoint that goes changes at most one member of each subset

    Examples:
      | endpoints | used | low | high |
      | 5         | 5    | 560 | 560  |
      | 16        | 16   | 560 | 560  |
      | 50        | 16   | 130 | 230  |
      | 200       | 16   | 20  | 75   |

  Scenario: Suspected endpoints give way in a subset
    Given a service of 40 endpoints used by 560 daemons
    When half of the endpoints are suspected
    Then no subset holds a suspected endpoint
