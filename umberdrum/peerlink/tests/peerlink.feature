Feature: Frames between daemons

  Scenario: Two daemons with one key exchange frames
    Given a link between two daemons
    Then a frame sent by either side arrives as it was

  Scenario Outline: A connection that is not authentic is refused
    When a daemon meets "<meeting>"
    Then the meeting is refused on the side of the "<side>"

    Examples:
      | meeting                          | side     |
      | a peer with another key          | opener   |
      | a hello that is replayed         | acceptor |
      | silence                          | acceptor |
      | random bytes                     | acceptor |
      | an enormous first frame          | acceptor |

  Scenario Outline: A frame that is not what was sent ends the connection
    Given a link between two daemons
    When a frame is "<change>" on the way
    Then reading it fails

    Examples:
      | change                |
      | changed in its kind   |
      | changed in its head   |
      | changed in its body   |
      | changed in its tag    |
      | sent twice            |
      | left out              |

  Scenario: An idle link on which something unexpected waits is not used again
    Given a link between two daemons
    When the peer sends a frame that nobody asked for
    Then the link is not reusable
