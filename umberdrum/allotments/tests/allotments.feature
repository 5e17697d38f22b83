Feature: Allotments that hold across daemons

  Scenario: No history of kills, cuts, suspensions and restarts exceeds an allotment
    When 30 histories of faults are run from seed 1 on
    Then no window of 5 s has more calls than the allotment allows

  Scenario Outline: What an account asks below its limit is not refused
    When an account sends 0.9 of its limit to <n> of 64 daemons for 8 s
    Then at most 2 in 100 of the calls of "steady" are refused

    Examples:
      | n  |
      | 1  |
      | 64 |

  Scenario: A killed grantor keeps few calls from being let through
    When the grantor of an account is killed while it sends 0.4 of its limit
    Then at most 2 in 100 of the calls of "steady" are refused

  Scenario: A lower limit binds one window later
    When the limit is lowered from 40 to 8 a second under load
    Then one window later no window has more than the lower limit allows

  Scenario: A hot account gets its allotment and takes nothing from others
    When one of 74 accounts sends 10 times its limit for 8 s
    Then the hot account gets its allotment and 98 in 100 of others' pass

  Scenario: Delegations count only as long as it is known that they hold
    Then a grantor without delegations grants nothing and refuses nothing
    And a half goes to another grantor only once its delegation has run out
    And an ask that was under way for longer than its delegation delegates nothing

  Scenario: A question tells what the next request would find
    Then a question takes no request and tells when one would be granted
