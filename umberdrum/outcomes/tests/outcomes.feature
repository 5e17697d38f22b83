Feature: The record of request ids

  Scenario Outline: What a query is told, and whether the request may begin afterwards
    Given a request that is "<state>"
    When its outcome is queried
    Then the execution is "<execution>" and running is "<running>"
    And beginning it afterwards is "<begin>"
    And admitting it again is "<admit>"

    Examples:
      | state         | execution    | running | begin   | admit             |
      | unknown       | not-run      | no      | refused | request-barred    |
      | waiting       | not-run      | no      | refused | request-barred    |
      | begun         | may-have-run | yes     | refused | duplicate-request |
      | done          | ran          | no      | refused | duplicate-request |
      | failed open   | may-have-run | no      | refused | duplicate-request |
      | failed closed | not-run      | no      | refused | request-barred    |

  Scenario: A query waits for a request in progress and gets its whole answer
    Given a request that is "begun"
    When it is done while a query waits
    Then the query brings the answer

  Scenario: A request that was proven not run may be admitted again
    Given a request that is "failed closed"
    Then admitting it again is "accepted"

  Scenario: A full record refuses new requests and forgets none that is young
    Given a record with room for 3 requests
    When 4 requests are admitted
    Then the last is refused as "record-full"
    And after 1000 s a new one is admitted

  Scenario: Kept answers stay within their bound
    Given a record with room for 2000 requests
    When 1000 requests are done with answers of 16000 bytes
    Then the record keeps at most 8388608 bytes of answers and all outcomes
