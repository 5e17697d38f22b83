Feature: Gossip datagrams, updates, synchronisation and probes

  Scenario Outline: Only authentic datagrams that are not replayed are accepted
    Given a datagram from another daemon
    When the datagram is "<change>"
    Then it is <result>

    Examples:
      | change                       | result   |
      | unchanged                    | accepted |
      | changed in one byte          | rejected |
      | truncated by one byte        | rejected |
      | empty                        | rejected |
      | made with another key        | rejected |
      | addressed to another process | rejected |
      | sent a second time           | rejected |
      | sent late by 10 sequences    | accepted |
      | sent late by 100 sequences   | rejected |

  Scenario: Random bytes never raise
    Then 3000 random datagrams are rejected

  Scenario: An update is sent a bounded number of times, and batches respect their size limit
    Given 100 updates in the queue of a daemon in a cluster of 560
    When batches of 1000 bytes are taken until the queue is empty
    Then each update was sent 30 times, and no batch exceeds 1000 bytes

  Scenario: An update of the own record goes first and ignores the size limit
    Given 100 updates in the queue of a daemon in a cluster of 560
    When its own record changes
    Then a batch of 0 bytes has the own record only, and one of 1000 bytes has it first

  Scenario: A newer update replaces the older one in the queue
    Given 100 updates in the queue of a daemon in a cluster of 560
    When one of the records changes again
    Then the queue still holds 100 updates

  Scenario: Sent bytes stay within the rate limit
    When a daemon sends all available bytes for 60 s
    Then it sends at most 2500 bytes a second on average over the last 50 s

  Scenario: A long document is sent compressed
    When a document of 600 routes is encoded
    Then the message has at most a fifth of the document's bytes and decodes to the same entry

  Scenario Outline: A compressed document that can't be decompressed is ignored
    When a compressed document is <change>
    Then no entry is accepted and the reason is logged

    Examples:
      | change            |
      | truncated         |
      | not compressed    |
      | longer than 2 MB  |

  Scenario Outline: Which peer a document is fetched from
    Given a daemon at revision <own>
    When a peer in <first> zone advertises revision 9, and after 0.1 s one in <second> zone
    Then it fetches from <selected>

    Examples:
      | own | first   | second  | selected                            |
      | 5   | another | its own | the second peer after 0.1 s         |
      | 5   | its own | another | the first peer at once              |
      | 5   | another | another | the second peer after 0.3 s         |
      | 0   | another | its own | the first peer at once              |
      | 9   | another | its own | no peer                             |

  Scenario Outline: Fetches while no peer gives an answer
    Given a daemon at revision 5
    When peers of <zones> zone advertise revision 9 and give no answer for 2 s
    Then fetches go to the peers <peers> after <times> s, the first over a kept link

    Examples:
      | zones             | peers   | times       |
      | its own           | 1,1,1   | 0,0.3,0.9   |
      | its own,its own   | 2,1,2,1 | 0,0.3,0.6,0.9 |
      | another,its own   | 2,1,2,1 | 0,0.3,0.6,0.9 |
      | another           | 1,1,1   | 0.3,0.6,1.2 |

  Scenario: Fetches that were not answered keep no later document waiting
    Given a daemon at revision 5
    When peers of its own,its own,its own,its own zone advertise revision 9 and give no answer for 2 s
    And the document comes by another way and another peer advertises revision 10
    Then the later document is fetched at once

  # Pauses between fetches of one document delayed those of later documents.
  Scenario Outline: Changes that follow each other are neither late nor overdue
    Given a daemon at revision 5
    When a peer advertises <n> changes, one every <ms> ms, and answers fetches after 0.1 s
    Then each change is fetched within 2 s and the store is not read for any

    Examples:
      | n  | ms |
      | 25 | 80 |
      | 60 | 50 |

  # Daemons that had a change ended, and the store was restored from an older copy.
  Scenario Outline: A document that no daemon has any more is not fetched for ever
    Given a daemon at revision 5
    When <n> peers advertise revision 9 <how> and refuse every fetch for 120 s
    Then each peer gets at most <n_fetches> fetches and the daemon counts as <state>

    Examples:
      | n  | how        | n_fetches | state    |
      | 1  | once       | 5         | current  |
      | 20 | once       | 5         | current  |
      | 1  | every 1 s  | 34        | outdated |

  Scenario: The wait for a peer in the same zone ends exactly at its due time
    When a peer in another zone advertises a newer revision at 10000 random times
    Then each time the peer is selected exactly when the wait has ended

  Scenario Outline: When a daemon synchronises with peers that know more
    Given a daemon that knows <here> endpoints and has just synchronised
    When peers that know <there> send different digests every 0.1 s
    Then it synchronises again <again>

    Examples:
      | here | there | again                |
      | 3    | 6     | within 0.6 s         |
      | 64   | 72    | within 0.6 s         |
      | 64   | 71    | not for 2.5 s        |
      | 64   | 64    | not for 2.5 s        |

  Scenario: A daemon that receives many records synchronises at bounded intervals
    Given a daemon that knows 1 endpoints and has just synchronised
    When each synchronisation adds an eighth, for 60 s with peers that know 560
    Then it synchronises at most 60 times

  Scenario: Answers that arrive while indirect probes are requested cause no suspicion
    Given a daemon that probed 6 peers and got no answer for 0.5 s
    When all answers arrive while it sends the first request for an indirect probe
    Then no peer is suspected 2 s later

  Scenario Outline: Which peers an immediate push is sent to
    Given a daemon that knows <same> live peers in its zone and <other> in another zone
    When a push to <n> peers is requested
    Then <chosen> peers are selected, <remote> of them in another zone

    Examples:
      | same | other | n | chosen | remote |
      | 0    | 3     | 0 | 0      | 0      |
      | 2    | 3     | 0 | 0      | 0      |
      | 0    | 3     | 1 | 1      | 1      |
      | 2    | 0     | 1 | 1      | 0      |
      | 2    | 3     | 1 | 1      | 1      |
      | 9    | 3     | 5 | 5      | 1      |
      | 2    | 6     | 5 | 5      | 3      |
      | 0    | 0     | 5 | 0      | 0      |

  # A daemon whose answers were lost was suspected, and told of no change any more.
  Scenario Outline: Which peers a contact reminds of a change
    When a peer in its zone is <state> and has last told of the <told> document
    Then it reminds the peer of the newer document: <reminded>

    Examples:
      | state     | told  | reminded |
      | live      | older | yes      |
      | live      | newer | no       |
      | suspected | older | yes      |
      | suspected | newer | no       |
      | restarted | newer | yes      |
      | gone      | older | no       |

  Scenario: Peers of a large zone are reminded in turn
    Given a daemon that knows 40 live peers in its zone and 9 in another zone
    When it reminds 16 peers in each of 5 rounds
    Then each peer of its zone is reminded 2 times

  Scenario Outline: Which of two states of a document a daemon keeps
    Given a daemon that holds version <version> of era <era> at revision <revision>
    When a daemon of <build> sends version <sent> of era <sent era> at revision <sent revision>
    Then the daemon holds version <kept> at revision <kept revision>

    Examples:
      | version | era | revision | build            | sent | sent era | sent revision | kept | kept revision |
      | 4       | 1   | 100      | this build       | 3    | 2        | 90            | 4    | 100           |
      | 4       | 1   | 100      | this build       | 4    | 2        | 93            | 4    | 93            |
      | 4       | 1   | 100      | this build       | 5    | 2        | 94            | 5    | 94            |
      | 4       | 2   | 93       | this build       | 4    | 1        | 100           | 4    | 93            |
      | 4       | 2   | 93       | the build before | 4    | 0        | 100           | 4    | 93            |
      | 4       | 2   | 93       | the build before | 3    | 0        | 100           | 4    | 93            |
      | 4       | 0   | 93       | the build before | 5    | 0        | 100           | 5    | 100           |
