Feature: Sockets that listen before the daemon is imported

  Scenario Outline: The caller and announcement addresses are bound early
    Given settings with <settings>
    When the program binds early listeners with "<options>"
    Then it listens at the addresses of <names>

    Examples:
      | settings                      | options | names            |
      | no fault                      |         | caller, announce |
      | no fault                      | --check | nothing          |
      | no fault                      | --oops  | nothing          |
      | no announce address           |         | caller           |
      | the caller's port in use      |         | announce         |
      | a caller's port of 99999      |         | announce         |
      | a host name for the caller    |         | announce         |
      | undecodable bytes             |         | nothing          |
      | a key without a section       |         | nothing          |
      | no file                       |         | nothing          |

  Scenario: A call that arrives before the daemon runs is served
    Given 2 machines of service "a" and 1 of service "b"
    When a client calls a daemon 0.5 s before it runs
    Then it gets the answer to its call

  Scenario: A call whose caller disconnects before the daemon runs is not forwarded
    Given 2 machines of service "a" and 1 of service "b"
    When a client calls a daemon 0.5 s before it runs, and leaves
    Then no endpoint sees the call

  Scenario: The time that a call waits before the daemon runs counts against its deadline
    Given 2 machines of service "a" and 1 of service "b"
    When a client calls with 1500 ms left, 300 ms before the daemon runs
    Then the endpoint is told that at most 1210 ms are left
