Feature: Early refusal gate and adaptive slot limit

  Scenario: Calls run at once in free slots and never exceed the limit
    Given a gate of 4 slots where calls take 10 ms
    When 12 calls of class "look" with a target of 200 ms arrive at once
    Then at most 4 run at the same time
    And 12 are admitted

  Scenario: Queued calls run in the order in which they miss their targets
    Given a gate of 1 slots where calls take 10 ms
    When calls with targets of "400, 50, 200" ms arrive in this order while another call runs
    Then they run in the order "50, 200, 400"

  Scenario Outline: Calls that can't be served in time are refused at once, with a retry time
    Given a gate of 2 slots where calls take <service> ms
    And the gate has finished 20 calls
    When <calls> calls with a deadline of <deadline> ms and a queue bound of <queue> ms arrive
    Then <refused> are refused at once as "<kind>" and not run
    And each refusal has a retry time

    Examples:
      | service | calls | deadline | queue | refused | kind                 |
      | 10      | 40    | 10000    | 10000 | 22      | overloaded           |
      | 10      | 20    | 10000    | 22    | 15      | overloaded           |
      | 100     | 6     | 160      | 10000 | 3       | deadline-unreachable |

  Scenario: A class with long targets leaves slots for a class with short targets
    Given a gate of 6 slots where calls take 1000 ms
    When short calls are active and 20 calls of class "upload" with a target of 2000 ms arrive
    Then at most 4 run at the same time

  Scenario: Cancelled calls leave the queue and free a slot they have just got
    Given a gate of 1 slots where calls take 10 ms
    When 5 queued calls are cancelled, one of them just as it gets a slot
    Then no call runs, none is queued and a new call is admitted at once

  Scenario: An endpoint that leaves refuses its queued calls
    Given a gate of 1 slots where calls take 10 ms
    When 3 calls are queued and all of them are refused
    Then 3 are refused as "endpoint-leaving"

  Scenario Outline: The limit falls while calls are slow and recovers afterwards
    Given a limit of 20 slots after 400 calls at usual speed
    When <calls> calls take <factor> times as long
    Then the limit is between <low> and <high>
    And after 400 calls at usual speed it is 20 again

    Examples:
      | calls | factor | low | high |
      | 400   | 1      | 20  | 20   |
      | 60    | 10     | 10  | 19   |
