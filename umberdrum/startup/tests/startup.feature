Feature: What listens before the daemon is loaded

  Scenario Outline: Callers and announcements are listened for early
    Given settings with <settings>
    When the program binds early with "<options>"
    Then it listens for <names>

    Examples:
      | settings                      | options | names            |
      | nothing unusual               |         | caller, announce |
      | nothing unusual               | --check | nothing          |
      | nothing unusual               | --oops  | nothing          |
      | no announce address           |         | caller           |
      | the caller's port in use      |         | announce         |
      | a caller's port of 99999      |         | announce         |
      | a caller's host that is a name|         | announce         |
      | bytes that are no text        |         | nothing          |
      | a key without a section       |         | nothing          |
      | no file                       |         | nothing          |

  Scenario: A call that came before the daemon ran is served
    Given 2 machines of service "a" and 1 of service "b"
    When a client calls a daemon 0.5 s before it runs
    Then it gets the answer to its call

  Scenario: A call whose caller left before the daemon ran is not passed on
    Given 2 machines of service "a" and 1 of service "b"
    When a client calls a daemon 0.5 s before it runs, and leaves
    Then no endpoint sees the call

  Scenario: The time that a call waited before the daemon ran counts
    Given 2 machines of service "a" and 1 of service "b"
    When a client calls with 1500 ms left, 300 ms before the daemon runs
    Then the endpoint is told that at most 1210 ms are left
