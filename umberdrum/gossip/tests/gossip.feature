Feature: Gossip datagrams

  Scenario Outline: Only authentic and fresh datagrams are taken
    Given a datagram from another daemon
    When it is "<change>"
    Then it is <result>

    Examples:
      | change                      | result  |
      | unchanged                   | taken   |
      | changed in one byte         | refused |
      | cut by one byte             | refused |
      | empty                       | refused |
      | made with another key       | refused |
      | meant for another process   | refused |
      | sent a second time          | refused |
      | sent late by 10 sequences   | taken   |
      | sent late by 100 sequences  | refused |

  Scenario: Random bytes never raise
    Then 3000 random datagrams are refused

  Scenario: News is sent to many but not for ever, and never above its room
    Given 100 changes in the queue of a daemon among 560
    When batches of 1000 bytes are taken until the queue is empty
    Then each change was sent 30 times, and no batch exceeds 1000 bytes

  Scenario: A change of the own record goes first, also where there is no room
    Given 100 changes in the queue of a daemon among 560
    When its own record changes
    Then a batch of 0 bytes has the own record only, and one of 1000 bytes has it first

  Scenario: A newer change replaces the older one in the queue
    Given 100 changes in the queue of a daemon among 560
    When one of them changes again
    Then the queue still holds 100

  Scenario: Sent bytes stay within the control budget
    When a daemon spends whatever its budget has, for 60 s
    Then it spends at most 2500 bytes a second on average over the last 50 s

  Scenario: A long document travels compressed
    When a document of 600 routes is encoded
    Then it takes at most a fifth of its bytes and decodes to the same

  Scenario Outline: A compressed document that can't be read names no entry
    When a compressed document is <change>
    Then no entry is taken and a line says why

    Examples:
      | change            |
      | cut short         |
      | not compressed    |
      | longer than 2 MB  |

  Scenario Outline: Whom a document is fetched from
    Given a daemon at revision <own>
    When a peer of <first> zone names revision 9, and after 0.1 s one of <second> zone
    Then it asks <asked>

    Examples:
      | own | first   | second  | asked                               |
      | 5   | another | its own | the second peer after 0.1 s         |
      | 5   | its own | another | the first peer at once              |
      | 5   | another | another | the second peer after 0.3 s         |
      | 0   | another | its own | the first peer at once              |
      | 9   | another | its own | nobody                              |

  Scenario: A wait for a nearer peer ends at the moment that was named
    When peers of another zone name a newer revision at 10000 random moments
    Then each time one is asked exactly when the wait has ended

  Scenario Outline: When a daemon synchronises with peers that know more
    Given a daemon that knows <here> endpoints and has just synchronised
    When peers that know <there> name other digests each 0.1 s
    Then it synchronises again <again>

    Examples:
      | here | there | again                |
      | 3    | 6     | within 0.6 s         |
      | 64   | 72    | within 0.6 s         |
      | 64   | 71    | not for 2.5 s        |
      | 64   | 64    | not for 2.5 s        |

  Scenario: A daemon that learns much asks for more at bounded intervals
    Given a daemon that knows 1 endpoints and has just synchronised
    When each synchronisation adds an eighth, for 60 s among peers that know 560
    Then it synchronises at most 60 times

  Scenario: Answers that come while other daemons are asked for help do no harm
    Given a daemon that asked 6 peers and got no answer for 0.5 s
    When it asks others for help, and all answers come with the first datagram
    Then no peer is suspected 2 s later
