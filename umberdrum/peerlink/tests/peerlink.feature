Feature: Frames between daemons

  Scenario: Two daemons with the same key exchange frames
    Given a link between two daemons
    Then a frame sent by either side arrives unchanged

  Scenario Outline: A connection that fails authentication is refused
    When a daemon is connected to "<peer>"
    Then the "<side>" refuses the handshake

    Examples:
      | peer                             | side     |
      | a peer with another key          | opener   |
      | a replayed hello                 | acceptor |
      | a silent peer                    | acceptor |
      | random bytes                     | acceptor |
      | an oversized first frame         | acceptor |

  Scenario Outline: An altered, replayed or omitted frame is rejected
    Given a link between two daemons
    When a frame is "<change>" in transit
    Then receiving it fails

    Examples:
      | change                |
      | changed in its kind   |
      | changed in its head   |
      | changed in its body   |
      | changed in its tag    |
      | replayed              |
      | omitted               |

  Scenario: An idle link with unexpected data is not reused
    Given a link between two daemons
    When the peer sends an unsolicited frame
    Then the link is not reusable
