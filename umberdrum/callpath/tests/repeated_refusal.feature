Feature: A refusal that arrives once more is never taken for that of another request

  The endpoint refuses a first request, keeps the connection and writes its refusal again.

  Scenario Outline: An upstream repeats its refusal <status> with <id>, <moment>
    Given an upstream that repeats its refusal with status <status> and <id>, <moment>
    When a payment with <second> id follows the refused one
    Then the payment got the response to its only run, or may have run

    Examples:
      | status | id     | moment                             | second  |
      | 503    | its id | at once                            | another |
      | 503    | its id | while idle                         | another |
      | 503    | its id | after the next request             | another |
      | 429    | its id | after the next request             | another |
      | 421    | its id | after the next request             | another |
      | 400    | its id | after the next request             | another |
      | 503    | no id  | after the next request             | another |
      | 421    | no id  | after the next request             | another |
      | 503    | its id | three times after the next request | another |
      | 503    | no id  | three times at once                | another |
      | 421    | its id | three times while idle             | another |
      | 503    | its id | inside the next request            | another |
      | 421    | its id | inside the next request            | another |
      | 503    | no id  | inside the next request            | another |

  Scenario Outline: A refused request is sent again to an upstream that repeats refusals
    Given an upstream that repeats its refusal with status <status> and its id, <moment>
    When a payment with the same id follows the refused one
    Then the payment got the response to its only run, or may have run

    Examples:
      | status | moment                             |
      | 503    | at once                            |
      | 503    | while idle                         |
      | 503    | after the next request             |
      | 429    | after the next request             |
      | 421    | after the next request             |
      | 400    | after the next request             |
      | 503    | inside the next request            |
      | 421    | three times after the next request |

  Scenario Outline: An upstream that has echoed no id yet repeats its refusal
    Given an upstream that repeats its refusal with status 503 and <id>, <moment>
    And no response of it has carried an id yet
    When a payment with another id follows the refused one
    Then the payment got the response to its only run, or may have run

    Examples:
      | id     | moment                 |
      | its id | after the next request |
      | no id  | after the next request |
      | no id  | while idle             |

  Scenario: A probe on a connection with a repeated refusal
    Given an upstream that repeats its refusal with status 503 and its id, after the next request
    When a probe follows the refused payment
    Then the probe reports no response

  Scenario Outline: A peer sends its refusal once more on a kept link, <moment>
    When an endpoint daemon repeats the refusal of a <class> call <moment>, and another call follows
    Then the call got the response to its only run, or may have run

    Examples:
      | class | moment              |
      | pay   | at once             |
      | pay   | after the next call |
      | look  | after the next call |

  Scenario: Responses to pipelined requests keep their order behind a refusal
    When the second of three pipelined requests is refused before the first is answered
    Then the caller gets 200, 503 and 200, each for its own request
