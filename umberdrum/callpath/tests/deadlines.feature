Feature: Calls end at their deadlines

  Scenario Outline: A call ends at its deadline while no link to its endpoint opens
    When a <class> call with a deadline of <deadline> ms goes to a peer that accepts connections and stays silent
    Then the caller gets "link-broke/not-run" after <deadline> to <limit> ms
    And the endpoint is suspected by its entry daemon

    Examples:
      | class | deadline | limit |
      | look  | 500      | 550   |
      | pay   | 500      | 550   |
      | look  | 1900     | 1950  |
