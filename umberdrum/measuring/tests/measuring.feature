Feature: The measuring budget is a hard cap

  Scenario Outline: No second exceeds the cap, however load swings
    When bursts ask for far more than <cap> bytes a second
    Then no second spends more than <cap> bytes
    And what is counted as spent is what was allowed

    Examples:
      | cap   |
      | 0     |
      | 11    |
      | 1000  |
      | 50000 |

  Scenario: A cap that is lowered holds for the seconds after it
    When the cap falls from 1000 to 100 bytes a second
    Then no second after the change spends more than 100 bytes beyond what was spent
