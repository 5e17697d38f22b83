Feature: Every fault at every step: answer, retry, drain

  A fault meets the first of three endpoints, or the store, at the moment of a step
  that is taken elsewhere. Calls enter at a daemon without an upstream. After the
  fault is healed, all daemons agree, and over all calls: each got a final answer,
  none got another's, payments ran at most once, and what was called not run was not.

  Scenario Outline: <fault> at answer
    When "<fault>" meets the step "answer"
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

  Scenario Outline: <fault> at retry
    When "<fault>" meets the step "retry"
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

  Scenario Outline: <fault> at drain
    When "<fault>" meets the step "drain"
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
