Feature: The end of a peer link leaves no call on it with an unknown outcome

  The calls come from an entry daemon that does not know of the stop yet.

  Scenario Outline: Calls that cross the end of an endpoint daemon are proven not run
    When 48 <class> calls are sent over peer links just as the endpoint daemon <moment>
    Then each of them got a response, or is proven not to have run
    And the number of responses equals the number of runs

    Examples:
      | class | moment         |
      | pay   | begins to stop |
      | pay   | ends           |
      | look  | begins to stop |
      | look  | ends           |

  Scenario Outline: A call that outlasts the grace period ends with what is known of it
    When a <class> call outlasts the grace period of an endpoint daemon <while>
    Then it ends with "<result>" at the end of that period

    Examples:
      | class | while                       | result                        |
      | pay   | on its link                 | endpoint-leaving/may-have-run |
      | look  | on its link                 | endpoint-leaving/may-have-run |
      | pay   | and its outcome is queried  | link-broke/may-have-run       |

  Scenario: A link is used again after a call that was refused before its body
    Given an endpoint daemon whose upstream is draining
    When 3 uploads are sent on one link, one after the other
    Then each of them is refused as "endpoint-leaving/not-run"

  Scenario: A link whose upload was answered early is closed without a reset
    When an upstream answers an upload of 2000000 bytes after 300000 bytes
    Then the link brings the response, a closing frame and the end of the stream

  Scenario Outline: A call on an idle link that the peer closes meanwhile is sent again
    When a <class> call is sent on an idle link that <ending>
    Then the caller gets a response from its only run

    Examples:
      | class | ending                                      |
      | pay   | the peer closes with a frame                |
      | look  | the peer closes with a frame                |
      | pay   | breaks before the call was sent completely |
      | look  | breaks before the call was sent completely |

  Scenario Outline: A payment gets its response although its link was silent for a while
    When the link of a payment that runs for 2 s is silent for <seconds> s <while>
    Then the payment gets a response and its upstream ran it once

    Examples:
      | seconds | while                            |
      | 0.5     | and its daemon goes on           |
      | 1.5     | and its daemon goes on           |
      | 3.0     | and its daemon goes on           |
      | 0.5     | and its daemon stops meanwhile   |
      | 1.5     | and its daemon stops meanwhile   |

  Scenario Outline: A payment whose caller has gone runs to its end before its daemon ends
    When a payment of 2 s loses <other side>, and its daemon stops
    Then the upstream has run the payment to its end and the daemon has waited for it

    Examples:
      | other side       |
      | its caller       |
      | its entry daemon |

  Scenario Outline: Calls to a process that was replaced at its address are not run there
    When an endpoint daemon <end>, is replaced at its address, and gets 24 <class> calls for it
    Then each of them is refused as "link-broke/not-run"

    Examples:
      | class | end     |
      | pay   | stops   |
      | pay   | crashes |
      | look  | crashes |

  Scenario Outline: An entry daemon that stops waits for its calls elsewhere
    When a payment runs for 2 s elsewhere and <who> of its daemons stop
    Then the payment gets a response and its upstream ran it once

    Examples:
      | who          |
      | the entry    |
      | the endpoint |
      | both         |

  Scenario: An upload that an endpoint daemon receives while it stops ends truthfully
    When the caller of an upload sends its second half 0.3 s after the endpoint daemon stops
    Then the caller gets a response of status 200 to its only run, or 503 without a run
