Feature: Calls over HTTP

  Scenario Outline: A malformed or ambiguous request is refused and not forwarded
    When a caller sends "<request>"
    Then it gets status 400, kind "malformed-request" and "Connection: close", and nothing is forwarded

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
      | GET /look HTTP/1.1~Host: pay~umberdrum-deadline-ms: 1e3~~                        |
      | GET /look HTTP/1.1~Host: pay~umberdrum-deadline-ms: 1_0~~                        |
      | GET /look HTTP/1.1~Host: pay~umberdrum-deadline-ms: --1~~                        |
      | GET /look HTTP/1.1~Host: pay~umberdrum-deadline-ms: 5.~~                         |
      | GET /look HTTP/1.1~Host: pay~umberdrum-attempts: -1~~                            |
      | GET /look HTTP/1.1~Host: pay~umberdrum-request-id: a b~~                         |

  Scenario Outline: Request bodies are buffered within limits and released afterwards
    When a body of <parts> parts of 60000 bytes is buffered and <end>
    Then <n_bytes> bytes were buffered and none remain afterwards

    Examples:
      | parts | end                    | n_bytes |
      | 3     | ends                   | 180000  |
      | 9     | ends                   | 300000  |
      | 3     | its caller closes      | 0       |
      | 3     | its caller is too slow | 0       |

  Scenario Outline: Requests that exceed a limit or match no class are refused and not run
    When a caller sends "<request>"
    Then it gets status <status>, kind "<kind>" and execution "not-run"

    Examples:
      | request                                         | status | kind            |
      | GET /look HTTP/1.1~Host: pay~X: <long>~~        | 431    | head-too-large  |
      | GET /look HTTP/1.1~Host: nosuch~~               | 404    | unknown-service |
      | GET /other HTTP/1.1~Host: pay~~                 | 404    | unknown-class   |
      | GET /look HTTP/1.1~Host: pay~X: never ends      | 408    | caller-too-slow |
      | POST /look HTTP/1.1~Host: pay~Content-Length: 9~~short | 408 | caller-too-slow |

  Scenario Outline: A request that was refused while it was read left no trace
    When a caller sends "<request>"
    Then the entry daemon logged and counted one refusal as "<kind>"

    Examples:
      | request                                                | kind              |
      | GET /look HTTP/1.1~Host: pay~umberdrum-deadline-ms: x~~ | malformed-request |
      | GET /look HTTP/1.1~Host: pay~X: <long>~~               | head-too-large    |
      | GET /look HTTP/1.1~Host: nosuch~~                      | unknown-service   |
      | POST /pay HTTP/1.1~Host: pay~Content-Length: 9~~short  | caller-too-slow   |

  # Such requests got 400, on which callers give up.
  Scenario Outline: A deadline that has passed was refused as malformed
    When a caller sends "<request>"
    Then it gets status 503, kind "deadline-exceeded" and execution "not-run"

    Examples:
      | request                                                                            |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms: 0~~          |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms: 0.4~~        |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms: -250~~       |
      | POST /pay HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms: -0.5~Content-Length: 1~~x |

  Scenario Outline: A deadline with a fraction, or a long one, was refused as malformed
    When a caller sends "<request>"
    Then it gets the upstream's response to a body of 0 bytes

    Examples:
      | request                                                                            |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms: 1500.75~~    |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms: 900001~~     |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms: 3600000000~~ |

  Scenario Outline: A field without a value was refused as malformed
    When a caller sends "<request>"
    Then it gets the upstream's response to a body of 0 bytes

    Examples:
      | request                                                                     |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-deadline-ms:~~     |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-request-id:~~      |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-attempts: ~~       |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-service:~X:~~      |

  # Clients append an id of their own to that of the call that they run.
  Scenario: The id of a call nested nine deep was refused as malformed
    When a caller sends "GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-request-id: 0123456789abcdef.0123456789abcdef.0123456789abcdef.0123456789abcdef.0123456789abcdef.0123456789abcdef.0123456789abcdef.0123456789abcdef.0123456789abcdef~~"
    Then it gets the upstream's response to a body of 0 bytes

  # Some clients send an empty line after a body.
  Scenario Outline: A request behind an empty line was refused as malformed
    When a caller sends "<request>"
    Then it gets the upstream's response to a body of 0 bytes

    Examples:
      | request                                                                     |
      | ~GET /look HTTP/1.1~Host: pay~Connection: close~~                           |
      | POST /pay HTTP/1.1~Host: pay~Content-Length: 1~~x~GET /look HTTP/1.1~Host: pay~Connection: close~~ |

  Scenario Outline: Requests of every form get a complete response
    When a caller sends "<request>"
    Then it gets the upstream's response to a body of <n_bytes> bytes

    Examples:
      | request                                                                 | n_bytes |
      | GET /look HTTP/1.1~Host: pay~Connection: close~~                        | 0       |
      | GET /look HTTP/1.1~Host: pay:8080~Connection: close~~                   | 0       |
      | GET /look HTTP/1.1~Host: x~umberdrum-service: pay~Connection: close~~   | 0       |
      | GET http://pay/look HTTP/1.1~Host: pay~Connection: close~~              | 0       |
      | GET http://pay.:80/look HTTP/1.1~Host: x~Connection: close~~            | 0       |
      | GET /look HTTP/1.1~Host: pay:~Connection: close~~                       | 0       |
      | GET /look HTTP/1.1~Host: pay.~Connection: close~~                       | 0       |
      | GET /look HTTP/1.1~Host: PAY.:8080~Connection: close~~                  | 0       |
      | GET /look HTTP/1.0~Host: pay~~                                          | 0       |
      | GET /look HTTP/1.0~umberdrum-service: pay~~                             | 0       |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Content-Length: 5~~hello | 5      |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Transfer-Encoding: chunked~~5~hello~0~~ | 5 |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Expect: 100-continue~Content-Length: 5~~hello | 5 |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Expect: 100-Continue~Transfer-Encoding: Chunked~~5~hello~0~~ | 5 |
      | GET /look HTTP/1.1~Host: pay~Connection: close~Expect: 100-continue~~   | 0       |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Trailer: X-Sum~Transfer-Encoding: chunked~~5;a=b;c="d e"~hello~0;last~X-Sum: 1~X-Other: 2~~ | 5 |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Transfer-Encoding: chunked~~00000A~helloworld~0~~ | 10 |
      | POST /look HTTP/1.1~Host: pay~Connection: close~Content-Length: 5~Content-Length: 5~~hello | 5 |
      | POST /look HTTP/1.0~Host: pay~Content-Length: 5~~hello                  | 5       |
      | GET /look HTTP/1.0~Host: pay~Connection: keep-alive~UMBERDRUM-DEADLINE-MS: 900~~ | 0 |
      | GET /look?a=b/c?d&e=%zz&u=http://x/#f HTTP/1.1~HOST: pay~CONNECTION: close~~ | 0  |
      | GET /look HTTP/1.1~Host: pay~Connection: close~Accept: a~Accept: b~Cookie: a=1~Cookie: b=2~~ | 0 |
      | GET /look HTTP/1.1~Host: pay~Connection: close~umberdrum-request-id: a1~umberdrum-request-id: a1~~ | 0 |
      | GET /look HTTP/1.1~Host: pay~Connection: close, umberdrum-request-id~umberdrum-request-id: a1~~ | 0 |
      | GET /look HTTP/1.1~Host: pay~Connection: close, Upgrade, HTTP2-Settings~Upgrade: h2c~HTTP2-Settings: AA~~ | 0 |

  Scenario: Two pipelined requests get their responses in order
    When a caller sends two requests at once on one connection
    Then it gets both responses in order

  Scenario: Hop-by-hop fields are removed and other fields are forwarded
    When a caller sends hop-by-hop fields, a traceparent, a deadline and extra attempts
    Then the upstream sees the traceparent, the remaining time and attempts, and no hop-by-hop field

  Scenario Outline: Faults of the upstream are reported with the correct execution state
    When a <class> call reaches an upstream with the fault "<fault>"
    Then the caller gets "<result>" and the upstream ran the call <runs> times

    Examples:
      | class | fault               | result                                | runs |
      | pay   | close-before-answer | upstream-broke-off/may-have-run       | 1    |
      | pay   | garbage             | upstream-invalid-answer/may-have-run  | 1    |
      | pay   | hang                | deadline-exceeded/may-have-run        | 1    |
      | pay   | error               | 500                                   | 1    |
      | pay   | close-in-answer     | upstream-broke-off/may-have-run       | 1    |
      | pay   | close-in-long       | truncated                             | 1    |
      | look  | close-before-answer | upstream-broke-off/may-have-run       | 1    |
      | look  | hang                | deadline-exceeded/may-have-run        | 1    |
      | look  | close-in-answer     | upstream-broke-off/may-have-run       | 1    |
      | look  | close-in-long       | truncated                             | 1    |
      | look  | error               | 500                                   | 1    |
      | pay   | shed                | 503                                   | 1    |
      | look  | shed                | upstream-shed/may-have-run            | 1    |
