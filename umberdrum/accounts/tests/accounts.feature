Feature: Client accounts and their keys

  Scenario: A key gives its account
    Given the account "dairy" with the keys "first-key second-key"
    And the account "farm" with the keys "third-key"
    Then "Bearer first-key" gives "dairy"
    And "bearer second-key" gives "dairy"
    And "Bearer third-key" gives "farm"
    And "Bearer fourth-key" gives "401"
    And "Basic first-key" gives "401"
    And "Bearer first-key", sent twice, gives "dairy"
    And "Bearer first-key" and "Bearer third-key" together give "401"
    And no part of the table holds a key

  Scenario: A key of two accounts is refused
    Given the account "dairy" with the keys "first-key"
    And the account "farm" with the keys "first-key"
    Then the table is refused with "found one of 'dairy'"

  Scenario: Two accounts of one name are refused
    Given the account "dairy" with the keys "first-key"
    And the account "dairy" with the keys "second-key"
    Then the table is refused with "expected one with this name"

  Scenario: Usage of accounts
    Then the usage lists accounts with most requests first
