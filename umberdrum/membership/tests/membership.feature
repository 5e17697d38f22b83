Feature: Membership

  Scenario: Merging is commutative, associative, idempotent and never restores old records
    Then merges of random records follow these laws and never restore an older record

  Scenario Outline: A daemon refutes newer records that others hold of it
    Given the own record at incarnation 3 and version 5
    When the table merges a record with the same id: "<other_record>"
    Then the own record is live at incarnation <incarnation> and not superseded

    Examples:
      | other_record          | incarnation |
      | suspected             | 3           |
      | other process, newer  | 8           |
      | other process, final  | 4           |
      | older                 | 3           |

  Scenario: A daemon takes over the ended run that an earlier process has recorded
    Given the own record at incarnation 3 and version 5
    When the table merges a record with the same id: "earlier process, ended run"
    Then the own record is live at incarnation 3 and not superseded
    And it names that run until a later one ends

  Scenario: An endpoint that was draining serves again only under a new incarnation
    Given the own record at incarnation 3 and version 5
    When it drains and then serves again
    Then the own record is live at incarnation 4 and not superseded

  Scenario Outline: The record of an unknown endpoint is stored only if it is live
    When the table merges a record of an unknown endpoint that is "<state>"
    Then the record is <result>

    Examples:
      | state     | result  |
      | live      | stored  |
      | suspected | ignored |
      | final     | ignored |

  Scenario Outline: Dead records leave the digest at once and the table after their retention
    When the record of a known endpoint becomes "<state>"
    Then the digest equals that of a table without this record
    And the record is removed after <seconds> s but not before

    Examples:
      | state     | seconds |
      | final     | 120     |
      | suspected | 900     |

  Scenario: A new process at the same address has to refute the record of the earlier one
    Given a table with the record of an earlier process at an address
    When another process sends a message from this address
    Then the earlier record conflicts until the table has a newer one of this process

  Scenario: Corrupted records never raise
    Then 2000 corrupted record messages are rejected or decode to a record

  Scenario Outline: Subsets are bounded, balanced and stable
    Given a service of <endpoints> endpoints used by 560 daemons
    Then each daemon uses <used> of these endpoints
    And each endpoint is used by <low> to <high> daemons
    And removing an endpoint changes at most one member of each subset

    Examples:
      | endpoints | used | low | high |
      | 5         | 5    | 560 | 560  |
      | 16        | 16   | 560 | 560  |
      | 50        | 16   | 130 | 230  |
      | 200       | 16   | 20  | 75   |

  Scenario: Suspected endpoints rank last in a subset
    Given a service of 40 endpoints used by 560 daemons
    When half of the endpoints are suspected
    Then no subset contains a suspected endpoint
