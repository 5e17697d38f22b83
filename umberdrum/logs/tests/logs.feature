Feature: Structured logs with one line of key=value pairs per event

  Scenario Outline: A value can neither break its line nor imitate a field
    When the value "<value>" is logged
    Then the line is "<line>"

    Examples:
      | value        | line                       |
      | plain-1.2:3  | event=e key=plain-1.2:3    |
      | a b          | event=e key="a b"          |
      | a=b          | event=e key="a=b"          |
      | x\ny         | event=e key="x\ny"         |
      | say 'hi'     | event=e key="say 'hi'"     |

  Scenario: A slow reader causes dropped lines, not a growing buffer
    When more than a megabyte of lines is logged without a flush
    Then the excess is counted as dropped and a flush writes the buffered lines

  Scenario: The volume per second is limited, and a warning beyond the limit is kept
    When 5000 lines and then a warning are logged in one second
    Then the file has at most 260 KB, the warning and the number of dropped lines

  # The process ended while a thread wrote, and the last lines of a stop were lost.
  Scenario Outline: The end of a daemon waits for lines that are being written, <reader>
    When a daemon ends while its lines are being written and <reader>
    Then it waits for <seconds> s, <n> writes are unfinished then, and no further one begins

    Examples:
      | reader                            | seconds | n |
      | the reader of the log takes them  | 0       | 0 |
      | the reader of the log never reads | 0.125   | 1 |

  Scenario: The last write mixes no lines with an earlier one that has not ended
    When the last lines are written while an earlier write waits for the reader
    Then they are still in the buffer
