Feature: Calls end at their deadlines

  Scenario Outline: A call ends at its deadline while no link to its endpoint opens
    When a <class> call with a deadline of <deadline> ms goes to a peer that accepts connections and stays silent
    Then the caller gets "link-broke/not-run" after <deadline> to <limit> ms
    And the endpoint is suspected by its entry daemon

    Examples:
      | class | deadline | limit |
      | look  | 500      | 550   |
      | pay   | 500      | 550   |
      | look  | 1900     | 1950  |

  # The attempt to open the first link took the whole time of the call.
  Scenario Outline: A call has time for another endpoint while no link to the first one opens
    When 8 <class> calls with a deadline of <deadline> ms can go to a peer that stays silent and to another
    Then each of them gets a response and is run once

    Examples:
      | class | deadline |
      | look  | 500      |
      | pay   | 500      |
      | look  | 1900     |
      | pay   | 1900     |

  Scenario Outline: The deadline of a request counts from its arrival, however late it is read
    When a <class> request with a deadline of 2000 ms on a <connection> connection is read <wait> ms late
    Then the caller gets "<result>" and the upstream runs it <runs> times with at most <left> ms

    Examples:
      | class | connection | wait | result                    | runs | left |
      | look  | new        | 0    | 200                       | 1    | 2000 |
      | look  | new        | 1500 | 200                       | 1    | 500  |
      | look  | kept       | 1500 | 200                       | 1    | 500  |
      | pay   | kept       | 1500 | 200                       | 1    | 500  |
      | look  | new        | 2000 | deadline-exceeded/not-run | 0    | 0    |
      | look  | kept       | 8000 | deadline-exceeded/not-run | 0    | 0    |
      | pay   | kept       | 8000 | deadline-exceeded/not-run | 0    | 0    |

  Scenario Outline: A caller gets an answer although the upstream stalls inside a short response
    When a <class> call at the <entry> daemon reaches an upstream that stalls inside its response
    Then the caller gets "deadline-exceeded/may-have-run" after 1000 to 1350 ms

    Examples:
      | class | entry    |
      | look  | endpoint |
      | look  | other    |
      | pay   | endpoint |
      | pay   | other    |
