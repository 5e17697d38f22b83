Feature: Errors inside a daemon

  # The contact manager of a stopping daemon failed, which cut all of its connections.
  Scenario Outline: An error in a background task cuts no call
    When <part> of a daemon fails once while calls are in progress
    Then each of these calls and a later one is answered
    And the error is logged for the task "<task>"

    Examples:
      | part                      | task            |
      | a push of updates         | push_updates    |
      | the renewal of its lease  | contact_manager |
      | the reading of a datagram | gossip          |
      | the closing of idle links | maintenance     |
      | the check of open links   | liveness_watch  |

  Scenario Outline: An error in one call ends no other call
    When <part> fails for one call while others are in progress
    Then that call gets status <status> and each other one is answered
    And the error is logged for the task "<task>"

    Examples:
      | part                              | status | task         |
      | the relay of a lookup             | 500    | call         |
      | the relay of a payment            | 500    | run_detached |
      | a second attempt beside the first | 200    | run_hedge    |
      | the routing of a pipelined lookup | 500    | call         |

  Scenario: An essential task that keeps failing stops the daemon and cuts no call
    When the check of open links fails each time while calls are in progress
    Then each of these calls is answered, and the daemon has stopped as failed

  Scenario: An error that is common to all daemons stops none of them
    When each datagram and each renewal of a lease fails at all daemons for 60 s
    Then both daemons answer calls all the time

  Scenario: An error during a stop cuts no call
    When a stopping daemon with calls in progress can't publish its departure
    Then each of these calls is answered, and the daemon has stopped

  Scenario Outline: An error of the listener cuts no call and does not end it
    When <call> fails for the listener of callers while calls are in progress
    Then each of these calls is answered, and so is one over a new connection

    Examples:
      | call                       |
      | the set-up of a connection |
      | the wait for a connection  |

  Scenario: An error while a request is read ends no earlier request
    When the reading of a pipelined request fails while an earlier one is in progress
    Then the earlier one is answered

  Scenario: A stop goes on after a step that fails
    When a stopping daemon with calls in progress can't close idle connections
    Then each of these calls is answered, and the daemon has stopped

  Scenario: A watch that fails for one link keeps the other links alive
    When the check of one peer link fails each time while calls are in progress
    Then only the call over that link may fail

  Scenario Outline: A reload that can't be done changes nothing and cuts no call
    When a daemon without standard error reloads <settings> while calls are in progress
    Then each of these calls is answered, and the log has one line "<event>"

    Examples:
      | settings                   | event             |
      | valid settings             | settings_reloaded |
      | a missing file             | settings_refused  |
      | a file that is not UTF-8   | settings_refused  |
      | a file with an unknown key | settings_refused  |
      | settings that can't be set | task_failed       |

  # The flusher waited for a first line that had already been written.
  Scenario: Log lines are written again after a flush that failed
    When no thread can be started for one flush of the log
    Then the lines from before and after it are written
