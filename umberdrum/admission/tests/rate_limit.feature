Feature: Rate limit of an upstream at the gate

  Scenario Outline: The <policy> gate begins calls no faster than the limit allows
    Given a <policy> gate of 4 slots whose upstream names a limit of <rate> a second
    When a call arrives every 20 ms for 8 s, with a deadline of 400 ms
    Then at most <most> calls begin in each second, and at least <least> in all
    And all other calls are refused as not run, before their deadline

    Examples:
      | policy  | rate | most | least |
      | target  | 10   | 13   | 72    |
      | early   | 10   | 13   | 72    |
      | target  | 0.5  | 1    | 3     |
      | early   | 0.5  | 1    | 3     |
      | target  | 0    | 1    | 3     |

  Scenario Outline: The <policy> gate refuses a call at once that may go elsewhere
    Given a <policy> gate of 4 slots whose upstream names a limit of 2 a second
    When a call arrives that another endpoint can run
    Then it is refused at once as "rate-limited", and may come back after 500 ms

    Examples:
      | policy |
      | target |
      | early  |

  Scenario: Waiting calls run at once when the limit ends
    Given a target gate of 4 slots whose upstream names a limit of 1 a second
    When 3 calls wait, and the limit ends after 50 ms
    Then all of them begin within 200 ms

  Scenario: Each entry daemon is told a time of its own
    Then 5 daemons that ask at once at a limit of 10 a second are told 100, 200, 300, 400 and 500 ms
    And 50 daemons that ask at once are told at most 1000 ms
