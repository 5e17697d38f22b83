Feature: The measuring budget is a hard limit

  Scenario Outline: No second exceeds the limit, however bursty the requests are
    When bursts request far more than <limit> bytes a second
    Then at most <limit> bytes are spent in any second
    And the counted bytes equal the bytes that were allowed

    Examples:
      | limit |
      | 0     |
      | 11    |
      | 1000  |
      | 50000 |

  Scenario: A lowered limit applies from then on
    When the limit is lowered from 1000 to 100 bytes a second
    Then after the earlier bytes expire, at most 100 bytes are spent in any second
