Feature: Snapshots of the operators' classes

  Scenario Outline: A restore writes missing classes, and changed classes only if overwriting
    Given a snapshot of the classes "a" and "b"
    When "<event>" and the snapshot is restored <how>
    Then the restore <result> and the store holds "<classes>"
    And the difference was "<difference>"

    Examples:
      | event             | how                | result      | classes            | difference |
      | nothing happens   | as it is           | writes -    | a 50, b 50         | -          |
      | b is deleted      | as it is           | writes b    | a 50, b 50         | b missing  |
      | a is changed      | as it is           | is refused  | a 70, b 50         | a changed  |
      | a is changed      | with overwriting   | writes a    | a 50, b 50         | a changed  |
      | c is created      | with overwriting   | writes -    | a 50, b 50, c 50   | c extra    |
      | both are deleted  | as it is           | writes a, b | a 50, b 50         | a missing, b missing |

  Scenario Outline: A file that is not a valid snapshot is refused
    When the file "<text>" is read as a snapshot
    Then it is refused as "invalid-class"

    Examples:
      | text                                           |
      | nonsense                                       |
      | []                                             |
      | {"format": 2, "classes": []}                   |
      | {"format": 1}                                  |
      | {"format": 1, "classes": [{"revision": 1}]}    |
      | {"format": 1, "classes": [{"revision": 1, "document": "{}"}]} |
