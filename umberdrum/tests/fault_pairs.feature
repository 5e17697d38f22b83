Feature: Two faults at once

  Pairs of an endpoint fault and a store fault, and pairs of two faults of the same
  endpoint, injected while calls are in progress.

  Scenario Outline: <faults>
    When "<faults>" is injected at the step "answer"
    Then every guarantee holds

    Examples:
      | faults                                     |
      | slow upstream and store down               |
      | slow upstream and store slow               |
      | slow upstream and lost store answer        |
      | slow upstream and expired leases           |
      | slow upstream and store compaction         |
      | slow upstream and concurrent operators     |
      | failing upstream and store down            |
      | failing upstream and store slow            |
      | failing upstream and lost store answer     |
      | failing upstream and expired leases        |
      | failing upstream and store compaction      |
      | failing upstream and concurrent operators  |
      | killed daemon and store down               |
      | killed daemon and store slow               |
      | killed daemon and lost store answer        |
      | killed daemon and expired leases           |
      | killed daemon and store compaction         |
      | killed daemon and concurrent operators     |
      | silent links and store down                |
      | silent links and store slow                |
      | silent links and lost store answer         |
      | silent links and expired leases            |
      | silent links and store compaction          |
      | silent links and concurrent operators      |
      | paused daemon and store down               |
      | paused daemon and store slow               |
      | paused daemon and lost store answer        |
      | paused daemon and expired leases           |
      | paused daemon and store compaction         |
      | paused daemon and concurrent operators     |
      | draining upstream and store down           |
      | draining upstream and store slow           |
      | draining upstream and lost store answer    |
      | draining upstream and expired leases       |
      | draining upstream and store compaction     |
      | draining upstream and concurrent operators |
      | slow upstream and silent links             |
      | failing upstream and silent links          |
      | draining upstream and silent links         |
      | silent links and paused daemon             |
      | slow upstream and paused daemon            |
      | silent links and killed daemon             |
      | draining upstream and killed daemon        |
      | store down and expired leases              |
      | store slow and concurrent operators        |
      | lost store answer and concurrent operators |
      | store compaction and concurrent operators  |
