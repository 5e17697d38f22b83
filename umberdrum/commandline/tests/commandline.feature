Feature: The command-line tool for operators

  Scenario Outline: Exit codes and messages
    Given a store with the class "lookup"
    When the operator runs "<arguments>" while the store is "<store>"
    Then the exit code is <code> and "<text>" is printed

    Examples:
      | arguments                                                      | store | code | text              |
      | class list                                                     | up    | 0    | lookup            |
      | class list --json                                              | up    | 0    | "target_ms": 50   |
      | class show lookup                                              | up    | 0    | target_ms         |
      | class show nosuch                                              | up    | 4    | nosuch            |
      | class create pay --service pay --not-idempotent --target-ms 9  | up    | 0    | created           |
      | class create lookup --service cards --idempotent --target-ms 9 | up    | 3    | revision          |
      | class create Big --service cards --idempotent --target-ms 9    | up    | 2    | name: expected    |
      | class create big --service cards --idempotent --target-ms 0    | up    | 2    | target latency    |
      | class set lookup --target-ms 40                                | up    | 0    | changed           |
      | class set lookup --target-ms 40 --expect-revision 1            | up    | 3    | within 50 ms      |
      | class set lookup                                               | up    | 2    | --target-ms       |
      | class delete lookup                                            | up    | 0    | deleted           |
      | class delete nosuch                                            | up    | 4    | nosuch            |
      | class set lookup --target-ms 40                                | lossy | 0    | changed           |
      | class set lookup --target-ms 40                                | down  | 5    | does not answer   |
      | --store x class list                                           | up    | 2    | IP:PORT           |
      | status                                                         | up    | 2    | --admin           |
      | --admin 127.0.0.1:1 status                                     | up    | 7    | no daemon         |
      | snapshot save /dev/null/x                                      | up    | 2    | /dev/null/x       |
      | snapshot diff /nosuch                                          | up    | 2    | /nosuch           |
      | snapshot save {folder}/s.json                                  | up    | 0    | 1 classes saved   |
      | snapshot save {folder}/s.json                                  | down  | 5    | does not answer   |
      | snapshot diff {folder}/lookup.json                             | up    | 0    | none              |
      | snapshot restore {folder}/lookup.json                          | up    | 0    | 0 classes written |

  Scenario Outline: The log lines of several daemons on one request are sorted by time
    Given the logs of two daemons on the requests r1, r1.2 and r2
    When the operator traces "<arguments>"
    Then the exit code is <code> and the printed events are "<events>"

    Examples:
      | arguments           | code | events                          |
      | r1 {a} {b}          | 0    | route, ran, call_ended          |
      | r1 {b} {a}          | 0    | route, ran, call_ended          |
      | r1 {a}              | 0    | route, call_ended               |
      | --prefix r1 {a} {b} | 0    | route, ran, refused, call_ended |
      | r2 {a} {b}          | 0    | call_ended                      |
      | r3 {a} {b}          | 4    |                                 |
      | r1 /nosuch          | 4    |                                 |
