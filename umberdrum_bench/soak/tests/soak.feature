Feature: Fault soak

  Scenario: The plan follows from the seed
    Then a seed gives the same plan twice and another seed another one
    And 200 seeds bring about every kind of fault, some in series, some overlapping

  Scenario Outline: Broken promises are found, and only those
    Given a <kind> call that ran <n_runs> times and ended with <end>
    When its entry was <entry> meanwhile
    Then the finding is "<finding>"

    Examples:
      | kind       | n_runs | end              | entry        | finding       |
      | lookup     | 1      | its answer       | left alone   | none          |
      | lookup     | 2      | its answer       | left alone   | none          |
      | payment    | 1      | its answer       | left alone   | none          |
      | payment    | 2      | its answer       | left alone   | doubled       |
      | payment    | 1      | another's answer | left alone   | mixed         |
      | payment    | 0      | not run          | left alone   | none          |
      | payment    | 1      | not run          | left alone   | false not-run |
      | payment    | 1      | unknown          | left alone   | none          |
      | payment    | 1      | nothing          | left alone   | lost          |
      | payment    | 1      | nothing          | killed       | none          |
      | payment    | 1      | nothing          | paused       | lost          |
      | payment    | 1      | nothing          | stopped      | lost          |
      | payment    | 0      | nothing          | stopped      | none          |
      | payment    | 0      | nothing          | killed later | lost          |
      | lookup     | 1      | a late answer    | left alone   | late          |
      | lookup     | 1      | a late answer    | paused       | none          |

  Scenario: Seeds that once failed are kept with their causes
    Then every kept seed has a cause

  Scenario: A short soak keeps every promise
    When 4 endpoints run for 6 s under the faults of seed 1
    Then no promise is broken and 100 calls or more were answered
