Feature: Peers that send without end keep no daemon busy and get no false success

  Scenario Outline: An upstream sends bytes that are no answer, without end
    When a <class> call reaches an upstream that sends endless <bytes>
    Then the caller gets "<result>" within <limit> s, and the upstream is disconnected
    And the daemon buffered at most 200000 bytes of it

    Examples:
      | class | bytes              | result                               | limit |
      | pay   | interim responses  | upstream-invalid-answer/may-have-run | 0.5   |
      | look  | interim responses  | upstream-invalid-answer/may-have-run | 0.5   |
      | pay   | blank lines        | upstream-invalid-answer/may-have-run | 0.5   |
      | pay   | header value       | upstream-invalid-answer/may-have-run | 0.5   |
      | pay   | header fields      | upstream-invalid-answer/may-have-run | 0.5   |
      | pay   | chunk extension    | truncated                            | 0.5   |
      | pay   | chunk size         | truncated                            | 0.5   |
      | look  | trailer fields     | truncated                            | 0.5   |
      | look  | body               | truncated                            | 3.5   |
      | pay   | body               | truncated                            | 3.5   |
      | look  | surplus            | 200                                  | 0.5   |

  Scenario Outline: A caller sends without end
    When a caller sends endless <bytes>
    Then it gets status <status> or is disconnected within 4 s
    And the daemon buffered at most 400000 bytes of it

    Examples:
      | bytes           | status |
      | blank lines     | 400    |
      | request line    | 431    |
      | header value    | 431    |
      | header fields   | 431    |
      | chunk extension | 431    |

  Scenario Outline: Other tasks run while a connection delivers many small parts
    Given 20000 chunks of one byte that have already arrived from <peer>
    When the daemon reads them
    Then other tasks get a turn at least once for every 100 chunks

    Examples:
      | peer        |
      | a caller    |
      | an upstream |

  Scenario: Other tasks run while a connection always has bytes to read
    Given a connection on which a peer always has more bytes
    When 400 reads of 65536 bytes are made
    Then other tasks get a turn at least once for every 16 reads

  Scenario Outline: An upstream sends each response a second time, 80 ms late
    When 12 callers in turn call an upstream that <echoes> ids, <gap> ms apart, and sends each response twice
    Then <n_wrong> of them get a response that is not their own

    Examples:
      | echoes        | gap | n_wrong |
      | echoes        | 20  | 0       |
      | echoes        | 300 | 0       |
      | doesn't echo  | 20  | 0       |
      | doesn't echo  | 300 | 0       |

  Scenario Outline: A planned stop answers every request that the kernel has accepted
    When a daemon is stopped just as <n_requests> requests arrive on <connections>
    Then each of them gets a complete response

    Examples:
      | n_requests | connections      |
      | 40         | new connections  |
      | 40         | kept connections |

  Scenario: A planned stop answers a request that follows a response at once
    When a daemon is stopped just as the next request follows a response
    Then each of them gets a complete response

  Scenario: A planned stop waits for a request whose body is still arriving
    When a daemon is stopped between the two parts of a request's body
    Then each of them gets a complete response

  Scenario Outline: A malformed body is refused whatever the method
    When a caller sends a <method> request with a malformed chunk
    Then it gets a 400 response

    Examples:
      | method |
      | POST   |
      | GET    |
      | HEAD   |
