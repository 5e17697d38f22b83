Feature: Promises on whole daemons

  Scenario Outline: <scene>
    Then the scene "<scene>" holds

    Examples:
      | scene |
      | a silent payment is settled |
      | a payment that never arrived is barred |
      | an endpoint is lost in a payment |
      | a stop cuts nothing |
      | a stop closes kept connections |
      | a drain takes effect within seconds |
      | a dead daemon is avoided |
      | a change is in force within seconds |
      | a daemon starts during an outage |
      | everything restarts |
      | a slow lookup is hedged |
      | a caller leaves |
      | overload is refused |
      | forged bytes change nothing |
      | a target changes without a restart |
      | one endpoint is left, then none |
      | two regions lose and find each other |
      | all daemons are replaced in turn |
      | an upstream sheds load |
      | the measuring budget is reloaded |
      | a body comes over a slow link |
      | a caller leaves while it uploads |
      | an answer is whole just after the deadline |
      | an upstream forgets idle connections |
      | one connection fails |
