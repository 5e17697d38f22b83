Feature: Store contract, checked with the etcd adapter

  Scenario Outline: Compare-and-swap and deletion
    Given a store in which "k" is <held>
    When "k" is <action> expecting <expected>
    Then the change is <result>

    Examples:
      | held    | action  | expected         | result    |
      | absent  | written | nothing          | applied   |
      | absent  | written | another revision | refused   |
      | present | written | its revision     | applied   |
      | present | written | nothing          | refused   |
      | present | written | another revision | refused   |
      | present | deleted | its revision     | applied   |
      | present | deleted | another revision | refused   |

  Scenario: A listing holds the keys of a prefix and no others
    Given a store in which "k" is present
    Then the prefix "k" lists 1 key and the prefix "l" lists 0

  Scenario Outline: Leases
    Given a store that holds "k" under a lease of 10 s
    When <seconds> s pass <how>
    Then "k" is <result>

    Examples:
      | seconds | how                         | result  |
      | 9       | without a renewal           | present |
      | 11      | without a renewal           | absent  |
      | 30      | with the lease kept alive   | present |
      | 1       | and the lease is revoked    | absent  |

  Scenario: A watch reports changes and deletions in order, only of its own keys
    Given a store in which "k" is absent
    When a watch of "k" sees a write, a deletion and a write of "k" and one of "x"
    Then it saw "put, delete, put" with rising revisions

  Scenario: A watch from a compacted revision reports the compaction
    Given a store in which "k" is present
    When the store is compacted and watched from revision 1
    Then the watch says that it is compacted

  Scenario Outline: Each fault of the store is reported with the right error kind
    Given a store in which "k" is present
    When the store is "<fault>" and the adapter tries to <operation>
    Then the failure is "<kind>" and within 3 s

    Examples:
      | fault       | operation | kind                  |
      | unreachable | read      | store-unavailable     |
      | unreachable | write     | store-unavailable     |
      | down        | read      | store-unavailable     |
      | down        | write     | store-outcome-unknown |
      | slow        | read      | store-unavailable     |
      | slow        | write     | store-outcome-unknown |
      | lossy       | write     | store-outcome-unknown |

  Scenario: Each operation is counted as one call
    Given a store in which "k" is absent
    When it is read, listed, written and watched once
    Then 4 calls are counted here and by the store

  Scenario Outline: A response that the store sends twice <moment> answers one request
    When a store sends the response to a refused write twice <moment>, and another write follows
    Then the first write is refused and the second one gets its own response

    Examples:
      | moment      |
      | at once     |
      | 50 ms apart |
