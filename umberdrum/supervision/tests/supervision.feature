Feature: Supervision of background tasks

  Scenario Outline: A task that fails is started again, more slowly each time
    When a task that is <kind> fails <n_failures> times, each time after <seconds> s
    Then it was started <n_starts> times with pauses of <pauses> s
    And giving up was requested <n_given_up> times

    Examples:
      | kind      | n_failures | seconds | n_starts | pauses                              | n_given_up |
      | essential | 0          | 1       | 1        | none                                | 0          |
      | essential | 3          | 1       | 4        | 0.1, 0.2, 0.4                       | 0          |
      | essential | 3          | 30      | 4        | 0.1, 0.1, 0.1                       | 0          |
      | essential | 7          | 0       | 8        | 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0   | 0          |
      | essential | 9          | 0       | 10       | 0.1, 0.2, 0.4, 0.8, 1.6, 2, 2, 2, 2 | 1          |
      | useful    | 9          | 0       | 10       | 0.1, 0.2, 0.4, 0.8, 1.6, 2, 2, 2, 2 | 0          |

  Scenario Outline: What one failing task does to the others
    When <task> raises <error> beside a running task
    Then the other task runs on
    And <n_lines> errors of the task "<name>" are logged with their place

    Examples:
      | task                | error           | name  | n_lines |
      | a task that repeats | one error       | work  | 1       |
      | a task that repeats | a group of two  | work  | 2       |
      | a task run once     | one error       | fails | 1       |
      | a task run once     | a group of two  | fails | 2       |

  Scenario: A supervised task can be cancelled
    When the tasks of a supervisor are cancelled
    Then they end at once and no error is logged
