Feature: Proper requests are not refused as the caller's fault

  # The bytes behind a body that was relayed while it arrived were dropped.
  Scenario Outline: A request behind a long body was refused as malformed
    When a caller sends <n_bytes> body bytes to the <place> daemon, whose last part brings <share> of the next request
    Then it gets both responses of the upstream

    Examples:
      | n_bytes | place    | share |
      | 50000   | entry    | half  |
      | 100000  | entry    | half  |
      | 100000  | entry    | all   |
      | 100000  | endpoint | half  |
      | 400000  | entry    | half  |
      | 400000  | endpoint | all   |

  Scenario Outline: A planned stop lost a request behind a long body
    When a caller sends <n_bytes> body bytes and all of the next request, and the daemon is stopped during the first
    Then it gets both responses of the upstream

    Examples:
      | n_bytes |
      | 50000   |
      | 100000  |

  # The parser of the next request took its limit when the connection became idle.
  Scenario Outline: A request on a kept connection was refused by a limit no longer in force
    When a head of <n_bytes> bytes is sent in <n_parts> parts on a connection that was opened under a limit of <old> bytes, now <new>
    Then it gets both responses of the upstream

    Examples:
      | n_bytes | n_parts | old   | new   |
      | 9000    | 1       | 2000  | 20000 |
      | 9000    | 2       | 2000  | 20000 |
      | 9000    | 2       | 20000 | 9100  |

  Scenario Outline: A head above the limit in force is refused on a kept connection
    When a head of <n_bytes> bytes is sent in <n_parts> parts on a connection that was opened under a limit of <old> bytes, now <new>
    Then its second response has the status 431

    Examples:
      | n_bytes | n_parts | old   | new   |
      | 9001    | 1       | 20000 | 9000  |
      | 9001    | 2       | 20000 | 9000  |
      | 30000   | 2       | 20000 | 9000  |

  Scenario Outline: A head within its limit was refused because it arrived in parts
    When a head of 9000 bytes is sent in <n_parts> parts on a connection that was opened under a limit of 9000 bytes, now 9000
    Then it gets both responses of the upstream

    Examples:
      | n_parts |
      | 1       |
      | 2       |

  # The target counted against the limit of the fields.
  Scenario Outline: A request was refused because its target and its fields were both long
    When fields of <n_fields> bytes follow a target of <n_target> bytes in <n_parts> parts, under a limit of 9000 bytes
    Then it gets both responses of the upstream

    Examples:
      | n_target | n_fields | n_parts |
      | 6        | 9000     | 1       |
      | 3000     | 9000     | 1       |
      | 9000     | 9000     | 2       |

  Scenario Outline: A target, or fields, above the limit in force are refused
    When fields of <n_fields> bytes follow a target of <n_target> bytes in <n_parts> parts, under a limit of 9000 bytes
    Then its second response has the status 431

    Examples:
      | n_target | n_fields | n_parts |
      | 9001     | 100      | 1       |
      | 9001     | 100      | 2       |
      | 6        | 9001     | 1       |
      | 6        | 9001     | 2       |
      | 100000   | 100      | 2       |

  Scenario Outline: An empty line was refused as a malformed request
    When a caller sends a request after <bytes>
    Then it gets both responses of the upstream

    Examples:
      | bytes                            |
      | an empty line                    |
      | an empty line in two parts       |
      | an empty line and a long pause   |

  # An upstream that got a body of another length was reported as the caller's fault.
  Scenario Outline: A fault of the daemon was reported as a malformed request
    When a request is sent to an upstream <circumstance>
    Then it fails as "<result>"

    Examples:
      | circumstance                                 | result                |
      | on a connection that is in use               | internal/not-run      |
      | and its body ends before its declared length | internal/may-have-run |
      | and its body exceeds its declared length     | internal/may-have-run |

  Scenario Outline: A frame within a body was taken for its end
    When a body of two parts arrives over a peer link with a <kind> frame between them
    Then receiving it fails as "link-broke"

    Examples:
      | kind      |
      | KEEPALIVE |
      | ADMITTED  |
      | CLOSING   |

  # A daemon that had read no class yet, as after a restart, refused all calls as not found.
  Scenario Outline: A call that no class matches is not found only if the classes are known
    When a call to "<service>" and "<path>" is matched by a daemon that <state>
    Then matching it fails as "<kind>"

    Examples:
      | service | path   | state                          | kind            |
      | pay     | /look  | has read no class yet          | no-routes-yet   |
      | nosuch  | /look  | has read all classes           | unknown-service |
      | pay     | /other | has read all classes           | unknown-class   |
      | nosuch  | /look  | has heard of newer classes     | routes-outdated |
      | pay     | /other | has heard of newer classes     | routes-outdated |

  Scenario Outline: A caller that ended its side within a request was told that it was malformed
    When a caller sends <request> to the <place> daemon and ends its side
    Then its request fails with <status> as "<result>"

    Examples:
      | request                        | place    | status | result                   |
      | half a head                    | entry    | 408    | caller-gone/not-run      |
      | half a body of 10 bytes        | entry    | 408    | caller-gone/not-run      |
      | half a chunk of 10 bytes       | entry    | 408    | caller-gone/not-run      |
      | half a body of 200000 bytes    | endpoint | 408    | caller-gone/not-run      |
      | half a body of 200000 bytes    | entry    | 502    | caller-gone/may-have-run |
      | half a body of 800000 bytes    | endpoint | 502    | caller-gone/may-have-run |
      | half a chunk of 200000 bytes   | entry    | 502    | caller-gone/may-have-run |

  # Two tasks read from the connection: the call that ran on, and the close that lingers.
  Scenario Outline: The deadline of an upload that was still arriving raised an error
    When a caller sends half of <n_bytes> body bytes to the <place> daemon and drips on past its deadline
    Then its request fails with 504 as "deadline-exceeded/may-have-run"
    And the upstream gets no more of its body, and later requests are served

    Examples:
      | n_bytes | place    |
      | 800000  | endpoint |
      | 800000  | entry    |
