Feature: Requests that are read late in a planned stop are not lost

  The daemon accepts connections for 0.5 s after the stop, and ends calls 2 s after it.

  Scenario Outline: A <class> request of <deadline> ms whose <part> is late, at the <role> daemon
    When <part> of a <class> request of <deadline> ms arrives <seconds> s after the <role> daemon stops, and it runs for <service> s
    Then the caller gets a whole response of "<result>" within 2.2 s, after <runs> runs

    Examples:
      | role  | class | part     | seconds | deadline | service | result                         | runs |
      | entry | pay   | the body | 0.3     | 5000     | 0.5     | 200                            | 1    |
      | entry | pay   | the body | 0.9     | 5000     | 5.0     | outcome-unknown/may-have-run   | 1    |
      | entry | pay   | the body | 1.1     | 5000     | 5.0     | endpoint-leaving/not-run       | 0    |
      | entry | pay   | the head | 1.9     | 5000     | 0.5     | endpoint-leaving/not-run       | 0    |
      | entry | look  | the head | 1.9     | 5000     | 0.5     | endpoint-leaving/not-run       | 0    |
      | entry | pay   | the body | 1.99    | 5000     | 0.5     | endpoint-leaving/not-run       | 0    |
      | entry | pay   | an end   | 1.5     | 5000     | 0.1     | 200                            | 1    |
      | entry | pay   | an end   | 1.9     | 5000     | 0.5     | endpoint-leaving/not-run       | 0    |
      | entry | pay   | an end   | 1.5     | 1900     | 1.0     | deadline-exceeded/may-have-run | 1    |
      | entry | pay   | a long end | 1.9   | 5000     | 0.5     | outcome-unknown/may-have-run   | 1    |
      | entry | pay   | a long end | 1.5   | 5000     | 0.1     | 200                            | 1    |
      | entry | pay   | the head | 1.5     | 1900     | 0.1     | 200                            | 1    |
      | entry | look  | the head | 1.5     | 1900     | 0.1     | 200                            | 1    |
      | entry | pay   | the head | 1.5     | 1900     | 1.0     | deadline-exceeded/may-have-run | 1    |
      | both  | pay   | the body | 1.9     | 5000     | 0.5     | endpoint-leaving/not-run       | 0    |
      | both  | look  | the head | 1.9     | 5000     | 0.5     | endpoint-leaving/not-run       | 0    |
      | both  | pay   | an end   | 1.9     | 5000     | 0.5     | endpoint-leaving/not-run       | 0    |

  Scenario Outline: A <class> request that is still arriving when the daemon ends
    When <part> of a <class> request of 5000 ms arrives 9 s after the <role> daemon stops, and it runs for 0.1 s
    Then the caller gets a whole response of "<result>" within 2.2 s, after 0 runs

    Examples:
      | role  | class | part     | result                   |
      | entry | pay   | the head | endpoint-leaving/not-run |
      | entry | pay   | the body | endpoint-leaving/not-run |
      | both  | look  | the head | endpoint-leaving/not-run |

  Scenario: An upload that is still arriving when the daemon ends
    When an end of a pay request of 5000 ms arrives 9 s after the entry daemon stops, and it runs for 0.1 s
    Then the caller gets a whole response of "outcome-unknown/may-have-run" within 2.2 s, after 0 runs

  Scenario Outline: A request waits behind a slow one when the <role> daemon ends
    When the <role> daemon stops while a <class> request waits behind a call that hangs
    Then the caller gets 504, and then 503 for a request that has not run

    Examples:
      | role  | class |
      | entry | pay   |
      | both  | pay   |

  Scenario Outline: A kept connection is closed with its first response in a stop
    When a <class> request follows on a kept connection 0.1 s after the entry daemon stops
    Then its response announces the close, and the one before it does not

    Examples:
      | class |
      | pay   |
      | look  |

  Scenario Outline: A response that never ends held a daemon beyond its grace period
    When a <class> call gets the head of its response only, and the <role> daemon stops
    Then the caller gets a whole response of "<result>" within 2.2 s, after 1 runs
    And the daemon has ended within 2.4 s

    Examples:
      | role     | class | result                        |
      | entry    | look  | outcome-unknown/may-have-run  |
      | entry    | pay   | outcome-unknown/may-have-run  |
      | endpoint | look  | endpoint-leaving/may-have-run |
      | endpoint | pay   | endpoint-leaving/may-have-run |
      | both     | look  | outcome-unknown/may-have-run  |
      | both     | pay   | outcome-unknown/may-have-run  |

  Scenario Outline: A caller that reads nothing of a long response holds no daemon
    When the <role> daemon stops while a <class> call's caller reads nothing of its response
    Then the daemon has ended within 2.4 s

    Examples:
      | role     | class |
      | entry    | look  |
      | entry    | pay   |
      | endpoint | look  |
      | endpoint | pay   |
      | both     | look  |
      | both     | pay   |

  Scenario Outline: Callers send requests through a whole stop of the <role> daemon
    When callers send requests on <connections> connections until the <role> daemon has ended
    Then every request got a whole response, or was not run

    Examples:
      | role  | connections |
      | entry | kept        |
      | entry | new         |
      | entry | pipelined   |
      | both  | kept        |
      | both  | pipelined   |
