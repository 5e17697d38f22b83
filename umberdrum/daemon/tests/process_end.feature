Feature: The process of a daemon ends when its daemon has stopped

  # The last write of the log waited for its reader, and the process had to be killed.
  Scenario Outline: A process that is stopped ends although the reader of its log <reader>
    When the process of a daemon gets SIGTERM while the reader of its log <reader>
    Then it ends by itself with the code 0

    Examples:
      | reader      |
      | reads       |
      | never reads |
      | has gone    |
