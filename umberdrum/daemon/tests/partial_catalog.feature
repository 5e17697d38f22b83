Feature: Calls before a daemon has all classes

  Scenario Outline: A daemon that has heard of one class only refuses no other for good
    Given 2 daemons with the classes of "cards" and "payments", seed <seed>
    When the class of "payments" changes while the store fails and no link can be opened
    And a daemon starts that gets datagrams only
    Then it refuses calls for "cards" with status 503

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
