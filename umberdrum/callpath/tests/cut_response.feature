Feature: A response that ends early never looks complete

  The sender stops after each byte of the response in turn.

  Scenario Outline: An upstream stops inside a response that <framing> and <ending>
    Given responses to a <class> call over HTTP/<version> at the <place> daemon
    When an upstream stops at every byte of a response that <framing>, and <ending>
    Then no caller gets a response that looks complete, or learns that the call has not run

    Examples:
      | framing                     | ending | class | version | place    |
      | has a length                | closes | pay   | 1.1     | entry    |
      | has a length                | resets | look  | 1.1     | entry    |
      | has a length                | closes | look  | 1.1     | endpoint |
      | has a length                | resets | pay   | 1.1     | endpoint |
      | follows interim responses   | closes | pay   | 1.1     | entry    |
      | follows interim responses   | resets | look  | 1.1     | entry    |
      | is chunked                  | closes | look  | 1.1     | entry    |
      | is chunked                  | resets | pay   | 1.1     | endpoint |
      | is chunked                  | closes | pay   | 1.0     | entry    |
      | is chunked                  | closes | look  | 1.0     | endpoint |
      | ends with its connection    | resets | pay   | 1.1     | entry    |
      | ends with its connection    | resets | look  | 1.1     | endpoint |
      | ends with its connection    | resets | look  | 1.0     | entry    |
      | has no body                 | closes | pay   | 1.1     | entry    |
      | has no body                 | resets | look  | 1.0     | endpoint |
      | speaks HTTP/1.0             | resets | pay   | 1.1     | entry    |
      | speaks HTTP/1.0             | resets | look  | 1.0     | endpoint |
      | has a length over 64 KiB    | closes | pay   | 1.1     | entry    |
      | has a length over 64 KiB    | resets | look  | 1.0     | endpoint |

  Scenario Outline: A caller of HTTP/<version> gets a whole response that <framing>
    Given responses to a look call over HTTP/<version> at the entry daemon
    When an upstream sends a whole response that <framing>, and closes
    Then the caller gets the whole response

    Examples:
      | version | framing                  |
      | 1.0     | has a length             |
      | 1.0     | is chunked               |
      | 1.0     | ends with its connection |
      | 1.1     | ends with its connection |
      | 1.0     | speaks HTTP/1.0          |
      | 1.1     | speaks HTTP/1.0          |

  Scenario Outline: A peer link breaks inside the frames of a response to a <class> call
    Given responses to a <class> call over HTTP/<version> at the entry daemon
    When a peer link breaks at every fourth byte of a response in <frames> frames, and <ending>
    Then each caller gets the response to its only run, or none that looks complete

    Examples:
      | class | version | frames | ending |
      | pay   | 1.1     | 1      | closes |
      | pay   | 1.1     | 1      | resets |
      | look  | 1.1     | 1      | closes |
      | look  | 1.0     | 2      | closes |
      | pay   | 1.0     | 2      | resets |
      | pay   | 1.1     | 2      | closes |

  Scenario Outline: A daemon dies inside the frames of a response to a <class> call
    Given responses to a <class> call over HTTP/1.1 at the entry daemon
    When the endpoint daemon dies <moment> of a response
    Then no caller gets a response that looks complete, or learns that the call has not run

    Examples:
      | class | moment                  |
      | pay   | inside the first frame  |
      | look  | inside the first frame  |
      | pay   | between the frames      |
      | look  | between the frames      |
