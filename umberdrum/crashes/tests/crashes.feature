Feature: Memory of requests under which upstreams have ended

  Scenario Outline: Which requests are refused: <case>
    Given a memory of crashes
    When requests were running as upstreams ended: <ends>
    And these were answered since: <answered>
    Then request "a" is <result>

    Examples:
      | case                                | ends                              | answered | result  |
      | one end                             | a@r1:0                            | -        | suspect |
      | two ends                            | a@r1:0 a@r2:0.3                   | -        | refused |
      | the same end reported twice         | a@r1:0 a@r1:0.3                   | -        | suspect |
      | it ran beside the culprit           | a@r1:0 b@r1:0 b@r2:5              | -        | suspect |
      | others ended at the same time       | a@r1:0 a@r2:0.3 b@r3:0.2          | -        | suspect |
      | three ends, and others              | a@r1:0 a@r2:0.3 a@r4:2 b@r3:0.2   | -        | refused |
      | answered after one end              | a@r1:0                            | a        | trusted |
      | answered after two ends             | a@r1:0 a@r2:0.3                   | a        | trusted |
      | an end that is older than 600 s     | a@r1:-601 a@r2:0                  | -        | suspect |

  Scenario: A request that was answered before gets no mark
    Given a memory of crashes
    When request "a" was answered, and upstream r1 ends under it 1 s later
    Then request "a" is trusted

  Scenario: Marks expire after 600 s
    Given a memory of crashes
    When requests were running as upstreams ended: a@r1:0 a@r2:0.3
    And 601 s pass
    Then request "a" is trusted

  Scenario: The memory is bounded, and repeated crashes stay in it longest
    Given a memory of crashes
    When requests were running as upstreams ended: a@r1:0 a@r2:0.3
    And 5000 other requests were running as upstreams ended
    Then request "a" is refused
    And the memory holds at most 1024 requests

  Scenario: Merging gives the same result in any order
    Given a memory of crashes
    Then marks merged in each order, and twice, leave the same requests refused
