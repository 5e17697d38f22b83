Feature: Every fault at every step: announce, join, call

  A fault is injected at the first of three endpoints, or at the store, while another
  node takes a step. Calls enter at a daemon without an upstream. After the fault is
  healed, all daemons converge. Every call got its own final answer. Payments ran at
  most once. No call that was reported as not run has run.

  Scenario Outline: <fault> at announce
    When "<fault>" is injected at the step "announce"
    Then every guarantee holds

    Examples:
      | fault                |
      | slow upstream        |
      | failing upstream     |
      | upstream disconnects |
      | draining upstream    |
      | killed daemon        |
      | silent links         |
      | paused daemon        |
      | store down           |
      | store slow           |
      | lost store answer    |
      | expired leases       |
      | store compaction     |
      | concurrent operators |

  Scenario Outline: <fault> at join
    When "<fault>" is injected at the step "join"
    Then every guarantee holds

    Examples:
      | fault                |
      | slow upstream        |
      | failing upstream     |
      | upstream disconnects |
      | draining upstream    |
      | killed daemon        |
      | silent links         |
      | paused daemon        |
      | store down           |
      | store slow           |
      | lost store answer    |
      | expired leases       |
      | store compaction     |
      | concurrent operators |

  Scenario Outline: <fault> at call
    When "<fault>" is injected at the step "call"
    Then every guarantee holds

    Examples:
      | fault                |
      | slow upstream        |
      | failing upstream     |
      | upstream disconnects |
      | draining upstream    |
      | killed daemon        |
      | silent links         |
      | paused daemon        |
      | store down           |
      | store slow           |
      | lost store answer    |
      | expired leases       |
      | store compaction     |
      | concurrent operators |
