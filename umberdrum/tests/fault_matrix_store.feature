Feature: Every fault at every step: lease renewal, store watch

  A fault meets the first of three endpoints, or the store, at the moment of a step
  that is taken elsewhere. Calls enter at a daemon without an upstream. After the
  fault is healed, all daemons agree, and over all calls: each got a final answer,
  none got another's, payments ran at most once, and what was called not run was not.

  Scenario Outline: <fault> at lease renewal
    When "<fault>" meets the step "lease renewal"
    Then every promise holds

    Examples:
      | fault               |
      | slow upstream       |
      | failing fast        |
      | upstream breaks off |
      | draining upstream   |
      | killed daemon       |
      | silent links        |
      | paused daemon       |
      | store down          |
      | store slow          |
      | lost answer         |
      | lapsed leases       |
      | compaction          |
      | two operators       |

  Scenario Outline: <fault> at store watch
    When "<fault>" meets the step "store watch"
    Then every promise holds

    Examples:
      | fault               |
      | slow upstream       |
      | failing fast        |
      | upstream breaks off |
      | draining upstream   |
      | killed daemon       |
      | silent links        |
      | paused daemon       |
      | store down          |
      | store slow          |
      | lost answer         |
      | lapsed leases       |
      | compaction          |
      | two operators       |
