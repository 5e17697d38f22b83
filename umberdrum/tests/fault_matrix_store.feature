Feature: Every fault at every step: lease renewal, store watch

  A fault is injected at the first of three endpoints, or at the store, while another
  node takes a step. Calls enter at a daemon without an upstream. After the fault is
  healed, all daemons converge. Every call got its own final answer. Payments ran at
  most once. No call that was reported as not run has run.

  Scenario Outline: <fault> at lease renewal
    When "<fault>" is injected at the step "lease renewal"
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

  Scenario Outline: <fault> at store watch
    When "<fault>" is injected at the step "store watch"
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
