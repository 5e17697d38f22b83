Feature: Every fault at every step: announce, join, call

  A fault meets the first of three endpoints, or the store, at the moment of a step
  that is taken elsewhere. Calls enter at a daemon without an upstream. After the
  fault is healed, all daemons agree, and over all calls: each got a final answer,
  none got another's, payments ran at most once, and what was called not run was not.

  Scenario Outline: <fault> at announce
    When "<fault>" meets the step "announce"
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

  Scenario Outline: <fault> at join
    When "<fault>" meets the step "join"
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

  Scenario Outline: <fault> at call
    When "<fault>" meets the step "call"
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
