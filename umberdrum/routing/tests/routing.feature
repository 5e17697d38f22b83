Feature: Routing

  Scenario Outline: Every router follows the rules for candidates and statistics
    Given the router "<policy>"
    Then it never chooses excluded endpoints, and suspected ones only as a last resort
    And it drops statistics of removed endpoints, but not of those with outstanding calls

    Examples:
      | policy            |
      | finish_time       |
      | zone_spill        |
      | least_outstanding |
      | two_choices       |
      | round_robin       |
      | random            |

  Scenario Outline: Slow, stalled and failing endpoints get few calls until they recover
    Given the router "<policy>" over 4 endpoints that answer in 5 ms
    When endpoint 0 <behaviour>, for 4 s at 200 calls a second
    Then endpoint 0 gets at most <share> % of the calls of the last 2 s
    And after 20 s of fast answers it gets at least 10 % again

    Examples:
      | policy      | behaviour         | share |
      | finish_time | answers in 100 ms | 5     |
      | finish_time | never answers     | 3     |
      | finish_time | fails in 0 ms     | 3     |
      | finish_time | reports an empty queue but answers in 100 ms | 5 |
      | zone_spill  | answers in 100 ms | 5     |
      | zone_spill  | never answers     | 3     |
      | zone_spill  | fails in 0 ms     | 3     |
      | zone_spill  | reports an empty queue but answers in 100 ms | 5 |

  Scenario: A stalled endpoint is avoided within milliseconds, before it answers
    Given the router "finish_time" over 4 endpoints that answer in 5 ms
    When endpoint 0 stalls while 1 call is outstanding for 20 ms
    Then the next 50 choices avoid endpoint 0

  Scenario Outline: A steady load is spread evenly
    Given the router "<policy>" over 4 endpoints that answer in 5 ms
    When it receives calls for <seconds> s at 200 calls a second
    Then each endpoint gets 15 to 35 % of the calls

    Examples:
      | policy      | seconds |
      | finish_time | 4       |
      | zone_spill  | 40      |

  Scenario: A new endpoint gets fewer calls at first
    Given the router "finish_time" over 4 endpoints that answer in 5 ms
    When it receives calls for 10 s at 200 calls a second
    And a fifth endpoint is added
    Then the fifth endpoint gets 1 to 20 % of the calls in the first second

  Scenario: The weight of a load report decays with its age
    Given an endpoint whose last report states 40 running calls, 0 of them from this daemon
    Then its estimated load is 40 immediately and the average of 3 after 2 s

  Scenario Outline: Calls stay in their zone unless another zone finishes much sooner
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

  Scenario Outline: Among many endpoints, those in the own zone are preferred
    Given the router "finish_time" in zone az1 with 30 endpoints over 5 zones
    When the endpoints of az1 answer in <own> ms, all others in <other> ms
    Then <least> to <most> % of the calls go to az1, evenly to its endpoints

    Examples:
      | own | other | least | most |
      | 20  | 20    | 90    | 100  |
      | 60  | 20    | 0     | 15   |
