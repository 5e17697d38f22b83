Feature: Signals in series while a daemon stops

  Scenario Outline: A <signal> during the end of the process leaves the exit code alone
    Given a daemon that runs as a process
    When it gets SIGTERM, and <signal> every 1 ms from its last log line on
    Then it ends with code 0

    Examples:
      | signal  |
      | SIGTERM |
      | SIGHUP  |
      | SIGINT  |
