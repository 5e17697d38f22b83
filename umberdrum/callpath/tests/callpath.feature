Feature: Calls over HTTP

  Scenario Outline: A request that two parties could read differently is refused
    When a caller sends "<request>"
    Then it gets a 400 of kind "malformed-request", the close, and nothing is forwarded

    Examples:
      | request                                                                          |
      | POST /look HTTP/1.1~Host: pay~Content-Length: 5~Content-Length: 6~~helloX        |
      | POST /look HTTP/1.1~Host: pay~Content-Length: 5~Transfer-Encoding: chunked~~0~~  |
      | POST /look HTTP/1.1~Host: pay~Transfer-Encoding: chunked~~zz~hello~0~~           |
      | POST /look HTTP/1.1~Host: pay~Transfer-Encoding: chunked~~5~helloXX~0~~          |
      | POST /look HTTP/1.1~Host: pay~Transfer-Encoding: gzip~~x                         |
      | POST /look HTTP/1.1~Host: pay~Content-Length: -1~~                               |
      | POST /look HTTP/1.1~Host: pay~Content-Length: 0x5~~hello                         |
      | GET /look HTTP/1.1~Host: pay~Host: other~~                                       |
      | GET /look HTTP/1.1~~                                                             |
      | GET /look HTTP/1.1~Host : pay~~                                                  |
      | GET  /look HTTP/1.1~Host: pay~~                                                  |
      | nonsense~~                                                                       |
      | CONNECT pay:80 HTTP/1.1~Host: pay~~                                              |
      | GET /look HTTP/1.1~Host: pay~umberdrum-deadline-ms: soon~~                       |
      | GET /look HTTP/1.1~Host: pay~umberdrum-deadline-ms: 0~~                          |
      | GET /look HTTP/1.1~Host: pay~umberdrum-attempts: -1~~                            |
      | GET /look HTTP/1.1~Host: pay~umberdrum-request-id: a b~~                         |

  Scenario Outline: Bodies are gathered within bounds, and their bytes given back
    When a body of <parts> parts of 60000 bytes is gathered and <end>
    Then <held> bytes were at hand and none are held afterwards

    Examples:
      | parts | end                   | held   |
      | 3     | ends                  | 180000 |
      | 9     | ends                  | 300000 |
      | 3     | is lost on the way    | 0      |
      | 3     | its caller is too slow | 0     |

  Scenario Outline: Requests that are out of bounds are refused, not run
    When a caller sends "<request>"
    Then it gets a <status> of kind "<kind>" and execution "not-run"

    Examples:
      | request                                         | status | kind            |
      | GET /look HTTP/1.1~Host: pay~X: <long>~~        | 431    | head-too-large  |
      | GET /look HTTP/1.1~Host: nosuch~~               | 404    | unknown-service |
      | GET /other HTTP/1.1~Host: pay~~                 | 404    | unknown-class   |
      | GET /look HTTP/1.1~Host: pay~X: never ends      | 408    | caller-too-slow |
      | POST /look HTTP/1.1~Host: pay~Content-Length: 9~~short | 408 | caller-too-slow |

  Scenario Outline: Requests of every form are answered whole
    When a caller sends "<request>"
    Then it gets the upstream's answer to <n_bytes> bytes

    Examples:
      | request                                                                 | n_bytes |
      | GET /look HTTP/1.1~Host: pay~Connection: close~~                        | 0       |
      | GET /look HTTP/1.1~Host: pay:8080~Connection: close~~                   | 0       |
      | GET /look HTTP/1.1~Host: x~umberdrum-service: pay~Connection: close~~   | 0       |
      | GET http://pay/look HTTP/1.1~Host: pay~Connection: close~~              | 0       |
      | GET /look HTTP/1.0~Host: pay~~                                          | 0       |
      | GET /look HTTP/1.0~umberdrum-service: pay~~                             | 0       |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Content-Length: 5~~hello | 5      |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Transfer-Encoding: chunked~~5~hello~0~~ | 5 |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Expect: 100-continue~Content-Length: 5~~hello | 5 |

  Scenario: Two requests on one connection are answered in order
    When a caller sends two requests at once on one connection
    Then it gets both answers in order

  Scenario: Fields that belong to one hop stay there, the others pass
    When a caller sends hop-by-hop fields, a traceparent, a deadline and an allowance
    Then the upstream sees the traceparent, the rest of deadline and allowance, and no hop-by-hop field

  Scenario Outline: Misbehaviour of the upstream is told truthfully
    When a <class> call meets an upstream that does "<fault>"
    Then the caller is told "<told>" and the upstream ran it <runs> times

    Examples:
      | class | fault               | told                                  | runs |
      | pay   | close-before-answer | upstream-broke-off/may-have-run       | 1    |
      | pay   | garbage             | upstream-invalid-answer/may-have-run  | 1    |
      | pay   | hang                | deadline-exceeded/may-have-run        | 1    |
      | pay   | error               | 500                                   | 1    |
      | pay   | close-in-answer     | upstream-broke-off/may-have-run       | 1    |
      | pay   | close-in-long       | cut                                   | 1    |
      | look  | close-before-answer | upstream-broke-off/may-have-run       | 1    |
      | look  | hang                | deadline-exceeded/may-have-run        | 1    |
      | look  | close-in-answer     | upstream-broke-off/may-have-run       | 1    |
      | look  | close-in-long       | cut                                   | 1    |
      | look  | error               | 500                                   | 1    |
      | pay   | shed                | 503                                   | 1    |
      | look  | shed                | upstream-shed/may-have-run            | 1    |
