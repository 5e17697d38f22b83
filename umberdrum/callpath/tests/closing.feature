Feature: A daemon ends its callers' connections

  A caller gets a complete response, a refusal, or a close before anything of its
  request was read.

  Scenario Outline: A planned stop answers <next> behind <earlier>
    When a daemon that accepts <leave_accept_ms> ms longer is stopped during <earlier>, and <next> follows
    Then the caller gets <n_responses> complete responses, and <announcing> announces the close

    Examples:
      | earlier                         | next      | leave_accept_ms | n_responses | announcing    |
      | a response with a late body     | a look-up | 0               | 2           | only the last |
      | a response with a late body     | a look-up | 2500            | 2           | none          |
      | a response that awaits its turn | a look-up | 0               | 3           | only the last |
      | a response that awaits its turn | a look-up | 2500            | 3           | none          |
      | a slow response                 | a payment | 0               | 2           | only the last |
      | a slow response                 | a payment | 2500            | 2           | none          |

  Scenario: A planned stop answers a request that crosses a response
    When a caller that sends 2 requests at once sends another as a leaving daemon responds
    Then the caller gets 3 complete responses, and none announces the close

  Scenario Outline: A planned stop ends a connection on which requests never pause
    When a daemon that accepts <leave_accept_ms> ms longer is stopped while <n_ahead> requests always wait
    Then the caller gets its responses in order, and only the last announces the close
    And the daemon ends within <limit> s

    Examples:
      | leave_accept_ms | n_ahead | limit |
      | 0               | 2       | 2     |
      | 0               | 4       | 2     |
      | 2500            | 2       | 4     |
      | 2500            | 4       | 4     |

  Scenario Outline: A planned stop waits for requests on their way
    When a daemon that accepts <leave_accept_ms> ms longer closes its listener <moment>
    Then each of them gets a complete response

    Examples:
      | leave_accept_ms | moment                               |
      | 0               | just after 40 callers have connected |
      | 2500            | just after 40 callers have connected |
      | 0               | with half a head received            |
      | 0               | with half a body received            |
      | 2500            | with half a head received            |
      | 2500            | with half a body received            |
      | 0               | just as 40 callers send requests     |
      | 2500            | just as 40 callers send requests     |

  Scenario Outline: A request meets the idle timeout
    When a caller sends a request <seconds> s after a response that took 2 s, idle timeout 5 s
    Then each of them gets a complete response

    Examples:
      | seconds |
      | 4       |
      | 4.9     |

  Scenario: Requests arrive at the moment of the idle timeout
    When 16 callers in turn send a request at the moment of the idle timeout, unless closed
    Then each of them gets a complete response

  Scenario: An idle connection is closed
    When a caller stays idle for the idle timeout
    Then it is disconnected after 4.9 to 5.1 s with no response

  Scenario: A planned stop closes connections on which no request follows
    When a daemon is stopped with 3 open connections on which nothing follows
    Then each of them is closed within 0.5 s, and the daemon ends within 1.5 s

  Scenario Outline: A planned stop answers control requests
    When <first> of a request to the <address> address has arrived on a <kind> connection as the daemon ends
    Then each of them gets a complete response

    Examples:
      | first   | address  | kind |
      | all     | announce | new  |
      | half    | announce | new  |
      | nothing | announce | new  |
      | all     | announce | kept |
      | half    | announce | kept |
      | all     | admin    | new  |
      | half    | admin    | kept |

  Scenario Outline: Calls in progress get their responses when <event>
    When <event> during 4 calls that take 2 s
    Then each of them gets a complete response with status 200

    Examples:
      | event                             |
      | the entry daemon reloads settings |
      | the entry daemon stops            |
      | the upstream drains               |
      | the upstream's daemon stops       |

  Scenario Outline: The grace period ends during calls
    When a daemon is stopped during 3 <calls>, with a grace period of 1500 ms
    Then each of them gets a complete response with status 504
    And the daemon ends within 1.8 s

    Examples:
      | calls                 |
      | calls                 |
      | payments              |
      | calls in one pipeline |
