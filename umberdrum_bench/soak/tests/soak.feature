Feature: Soak test under random faults

  Scenario: The seed determines the fault plan
    Then a seed gives the same plan twice and another seed gives a different plan
    And the plans of 200 seeds have every kind of fault, with series and overlaps
    And in 200 seeds a document changes within 0.8 s after each loss of all contacts
    And in 200 seeds all contacts are lost in every way while a zone is drained

  Scenario Outline: Only violated guarantees are reported
    Given a <kind> call that ran <n_runs> times and ended with <end>
    When its entry daemon was <entry> during the call
    Then the reported violation is "<violation>"

    Examples:
      | kind    | n_runs | end                        | entry        | violation     |
      | lookup  | 1      | its own answer             | undisturbed  | none          |
      | lookup  | 2      | its own answer             | undisturbed  | none          |
      | payment | 1      | its own answer             | undisturbed  | none          |
      | payment | 2      | its own answer             | undisturbed  | doubled       |
      | payment | 1      | the answer to another call | undisturbed  | mixed         |
      | payment | 0      | a not-run error            | undisturbed  | none          |
      | payment | 1      | a not-run error            | undisturbed  | false not-run |
      | payment | 1      | an unknown outcome         | undisturbed  | none          |
      | payment | 1      | no answer                  | undisturbed  | lost          |
      | payment | 1      | no answer                  | killed       | none          |
      | payment | 1      | no answer                  | paused       | lost          |
      | payment | 1      | no answer                  | stopped      | lost          |
      | payment | 0      | no answer                  | stopped      | none          |
      | payment | 0      | no answer after 0.4 s      | stopped      | lost          |
      | payment | 0      | no answer                  | killed later | lost          |
      | lookup  | 1      | a late answer              | undisturbed  | late          |
      | lookup  | 1      | a late answer              | paused       | none          |
      | lookup  | 1      | a late answer              | starved long | none          |
      | lookup  | 1      | a late answer              | starved      | late          |
      | payment | 1      | no answer                  | starved long | lost          |
      | payment | 0      | a refusal with 400         | undisturbed  | denied        |
      | payment | 0      | a refusal with 408         | undisturbed  | denied        |
      | payment | 0      | no connection              | undisturbed  | none          |
      | payment | 1      | no connection              | undisturbed  | lost          |

  Scenario Outline: A call that waits behind another one when its daemon stops
    Given a payment call that ran <n_runs> times and ended with <end>
    But it was sent behind another call
    When its entry daemon was <entry> during the call
    Then the reported violation is "<violation>"

    Examples:
      | n_runs | end                   | entry       | violation |
      | 0      | no answer after 0.4 s | stopped     | none      |
      | 1      | no answer after 0.4 s | stopped     | lost      |
      | 0      | no answer after 0.4 s | undisturbed | lost      |

  Scenario: A call that a kill cuts off ends no earlier than the kill
    Given a payment call that ran 1 times and ended with no answer
    And its caller noticed the end 0.1 s after 10.0 s
    When its daemon was killed at 10.1 s
    Then the reported violation is "none"

  Scenario: Callers send proper requests in many forms
    When 500 uploads and the requests behind them are drawn
    Then some have a body in chunks, a port, an absolute target, fractions of milliseconds
    And some deadlines are 1 to 3 ms and some requests follow 2 others

  Scenario Outline: Only the time without a processor is excused
    Given a process that had waited <before> s for a processor before a call
    When <process> has waited <after> s after it
    Then the call's daemon was without a processor for <starved> s

    Examples:
      | before | process           | after | starved |
      | 1.5    | the same process  | 3.75  | 2.25    |
      | 1.5    | a process started | 0.5   | 0.5     |
      | 1.5    | an ended process  | 0.0   | 0.0     |

  Scenario Outline: A change of <document> that is not in force, <age> s after its acceptance
    Given a daemon whose <document> had changed <age> s before it was asked
    And until <calm> s before that, <trouble>
    When it reports <state>
    Then the reported violation is "<violation>"

    Examples:
      | document | age | calm | trouble                             | state                   | violation |
      | routes   | 1.9 | 9.0  | nothing was disturbed               | the older version       | none      |
      | routes   | 2.1 | 9.0  | nothing was disturbed               | the older version       | spread    |
      | routes   | 2.1 | 9.0  | nothing was disturbed               | the newer version       | none      |
      | routes   | 9.0 | 9.0  | nothing was disturbed               | no version yet          | none      |
      | routes   | 2.1 | 3.1  | its process was disturbed           | the older version       | spread    |
      | routes   | 2.1 | 2.9  | its process was disturbed           | the older version       | none      |
      | routes   | 9.0 | 0.0  | its process was disturbed           | the older version       | none      |
      | routes   | 2.1 | 2.9  | its way to the store was disturbed  | the older version       | spread    |
      | routes   | 2.1 | 2.9  | all ways to the store were cut      | the older version       | none      |
      | routes   | 2.1 | 3.1  | all ways to the store were cut      | the older version       | spread    |
      | routes   | 1.0 | 9.0  | nothing was disturbed               | the newer, then older   | regress   |
      | zone     | 4.9 | 9.0  | nothing was disturbed               | the older version       | none      |
      | zone     | 5.1 | 9.0  | nothing was disturbed               | the older version       | spread    |
      | zone     | 5.1 | 2.9  | its process was disturbed           | the older version       | none      |
      | zone     | 5.1 | 9.0  | nothing was disturbed               | the newer version       | none      |
      | zone     | 1.0 | 9.0  | nothing was disturbed               | the newer, then older   | regress   |

  Scenario: Seeds of past failures are listed with their causes
    Then every regression seed has a cause

  Scenario: Executions of an earlier soak of the same seed are not counted
    Given a folder with the records of 2 soaks of seed 7
    Then another soak of seed 7 uses a new folder "seed-7-3", and seed 8 "seed-8"

  Scenario: A short soak violates no guarantee
    When 4 endpoints run for 6 s under the faults of seed 1
    Then no guarantee is violated and at least 100 calls were answered
