Feature: Routing

  Scenario Outline: Every router keeps the contract
    Given the router "<policy>"
    Then it chooses only among allowed endpoints, and suspected ones only when alone
    And it forgets endpoints that are gone, but not calls in progress

    Examples:
      | policy            |
      | finish_time       |
      | least_outstanding |
      | two_choices       |
      | round_robin       |
      | random            |

  Scenario Outline: Endpoints that do badly lose their share
    Given the router "finish_time" over 4 endpoints that answer in 5 ms
    When endpoint 0 <behaviour>, for 4 s at 200 calls a second
    Then endpoint 0 gets at most <share> % of the calls of the last 2 s
    And after 20 s of good answers it gets at least 10 % again

    Examples:
      | behaviour                  | share |
      | answers in 100 ms          | 5     |
      | never answers              | 3     |
      | fails in 0 ms              | 3     |
      | reports an empty queue but answers in 100 ms | 5 |

  Scenario: A slow endpoint is left within milliseconds, before it answers
    Given the router "finish_time" over 4 endpoints that answer in 5 ms
    When endpoint 0 stalls while 1 call is outstanding for 20 ms
    Then the next 50 choices avoid endpoint 0

  Scenario: Steady load is spread evenly
    Given the router "finish_time" over 4 endpoints that answer in 5 ms
    When it runs for 4 s at 200 calls a second
    Then each endpoint gets 15 to 35 % of the calls

  Scenario: A new endpoint gets less at first
    Given the router "finish_time" over 4 endpoints that answer in 5 ms
    When it runs for 10 s at 200 calls a second
    And a fifth endpoint appears
    Then the fifth gets 1 to 20 % of the calls in the first second

  Scenario: An old report fades
    Given an endpoint whose last report says 40 running of which 0 are ours
    Then its load is 40 at once and the usual 3 after 2 s

  Scenario Outline: Calls stay in their zone unless another finishes much sooner
    Given the router "finish_time" in zone az1 with one endpoint there and three in az2
    When the endpoint of az1 answers in <own> ms, the others in <other> ms, bodies have <bytes> bytes and targets are <slack> ms away
    Then <share> of the calls go to az1

    Examples:
      | own | other | bytes  | slack | share      |
      | 20  | 20    | 0      | 500   | nearly all |
      | 20  | 19    | 0      | 500   | nearly all |
      | 60  | 20    | 0      | 500   | few        |
      | 60  | 20    | 60000  | 500   | nearly all |
      | 200 | 20    | 60000  | 500   | nearly all |
      | 200 | 20    | 60000  | 100   | few        |
      | 200 | 20    | 2000   | 500   | few        |

  Scenario Outline: Of many endpoints those of the own zone are preferred
    Given the router "finish_time" in zone az1 with 30 endpoints over 5 zones
    When the endpoints of az1 answer in <own> ms, all others in <other> ms
    Then <least> to <most> % of the calls go to az1, evenly to its endpoints

    Examples:
      | own | other | least | most |
      | 20  | 20    | 90    | 100  |
      | 60  | 20    | 0     | 15   |
