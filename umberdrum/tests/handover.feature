Feature: A daemon that stops hands over its contact key at once

  A daemon that stops serves calls for 2.5 s more, and its zone's other daemons claim.

  Scenario: The key of a contact that stops is free at once and soon claimed again
    Given 4 daemons in zone az1 and 2 in zone az2
    When a contact of zone az1 begins to stop
    Then it holds no key 0.2 s later
    And zone az1 has as many contacts as before within 3 s
    And all daemons get a change that was made 0.1 s after the beginning within 4 s

  Scenario Outline: A daemon that stops claims no key
    Given 1 daemons in zone az1 and 2 in zone az2
    When the daemon of zone az1 begins to stop while <event>
    Then it never holds a key from 0.5 s after the beginning on

    Examples:
      | event                                      |
      | the store is down, which then answers      |
      | its claim waits for the store              |
      | its claim waits for a random time          |
      | it holds a key                             |
      | the store is restored from an earlier copy |

  Scenario Outline: A store that does not answer delays no stop
    Given 1 daemons in zone az1 and 2 in zone az2
    When the daemon of zone az1 stops while the store is <state>
    Then it ends within <limit> s

    Examples:
      | state | limit |
      | up    | 3.0   |
      | down  | 3.0   |
      | slow  | 3.1   |

  Scenario Outline: Daemons are stopped <order> and started again
    Given 3 daemons in zone az1 and 2 in zone az2
    When <which> are stopped <order> and started again
    Then no key is held by a process that has ended
    And all daemons get a change within 4 s, after a time of 4 s

    Examples:
      | which                   | order               |
      | the daemons of the zone | together            |
      | the daemons of the zone | one after the other |
      | all daemons             | together            |
      | all daemons             | one after the other |
