Feature: One line of key=value pairs for each event

  Scenario Outline: Values never break a line nor forge a field
    When the value "<value>" is logged
    Then the line is "<line>"

    Examples:
      | value        | line                       |
      | plain-1.2:3  | event=e key=plain-1.2:3    |
      | a b          | event=e key="a b"          |
      | a=b          | event=e key="a=b"          |
      | x\ny         | event=e key="x\ny"         |
      | say 'hi'     | event=e key="say 'hi'"     |

  Scenario: A reader that is too slow costs lines, not memory
    When more than a megabyte of lines is written without a flush
    Then the rest is counted as dropped and a flush writes what was kept

  Scenario: A flood of lines is bounded each second, warnings are not lost in it
    When 5000 lines and then a warning are written in one second
    Then the file holds at most 260 KB, the warning and the count of the lines left out
