Feature: Guarantees of whole daemons

  Scenario Outline: <scenario>
    Then the system scenario "<scenario>" passes

    Examples:
      | scenario |
      | the outcome of a payment on a silent link is resolved |
      | an undelivered payment is barred and retried |
      | a daemon dies during a payment |
      | a stop interrupts no upload |
      | a stop closes idle keep-alive connections |
      | a drain takes effect within seconds |
      | a dead daemon receives no calls |
      | a configuration change takes effect within seconds |
      | a daemon starts during a store outage |
      | all daemons restart |
      | a slow lookup is hedged |
      | a caller disconnects during a call |
      | calls beyond capacity are refused |
      | forged bytes change nothing |
      | a latency target changes without a restart |
      | all endpoints but one fail, then the last |
      | two regions are partitioned and rejoin |
      | all daemons are replaced in turn |
      | a departure is known at once |
      | a restart is known at once |
      | a peer's restart does not hold up a departure |
      | a daemon that starts again learns of its predecessor |
      | an upstream sheds load |
      | the measuring budget is reloaded |
      | a request body arrives slowly |
      | a caller disconnects during an upload |
      | an answer body ends just after the deadline |
      | an upstream drops idle connections |
      | a handler error closes one connection only |
