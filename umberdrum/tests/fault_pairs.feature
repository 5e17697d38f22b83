Feature: Two faults at once

  Each pair of a fault of an endpoint and a fault of the store, and pairs of two faults
  of one endpoint, while calls are in progress.

  Scenario Outline: <faults>
    When "<faults>" meets the step "answer"
    Then every promise holds

    Examples:
      | faults                               |
      | slow upstream and store down         |
      | slow upstream and store slow         |
      | slow upstream and lost answer        |
      | slow upstream and lapsed leases      |
      | slow upstream and compaction         |
      | slow upstream and two operators      |
      | failing fast and store down          |
      | failing fast and store slow          |
      | failing fast and lost answer         |
      | failing fast and lapsed leases       |
      | failing fast and compaction          |
      | failing fast and two operators       |
      | killed daemon and store down         |
      | killed daemon and store slow         |
      | killed daemon and lost answer        |
      | killed daemon and lapsed leases      |
      | killed daemon and compaction         |
      | killed daemon and two operators      |
      | silent links and store down          |
      | silent links and store slow          |
      | silent links and lost answer         |
      | silent links and lapsed leases       |
      | silent links and compaction          |
      | silent links and two operators       |
      | paused daemon and store down         |
      | paused daemon and store slow         |
      | paused daemon and lost answer        |
      | paused daemon and lapsed leases      |
      | paused daemon and compaction         |
      | paused daemon and two operators      |
      | draining upstream and store down     |
      | draining upstream and store slow     |
      | draining upstream and lost answer    |
      | draining upstream and lapsed leases  |
      | draining upstream and compaction     |
      | draining upstream and two operators  |
      | slow upstream and silent links       |
      | failing fast and silent links        |
      | draining upstream and silent links   |
      | silent links and paused daemon       |
      | slow upstream and paused daemon      |
      | silent links and killed daemon       |
      | draining upstream and killed daemon  |
      | store down and lapsed leases         |
      | store slow and two operators         |
      | lost answer and two operators        |
      | compaction and two operators         |
