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

  Scenario Outline: A lease renewal shows that the older connections are silent
    Given a store in which "k" is <held>
    When a lease is renewed after the store's connections "<event>"
    Then the renewal succeeds within 1 s and "<shows>" silence

    Examples:
      | held   | event                         | shows        |
      | absent | go silent                     | shows        |
      | absent | stay                          | doesn't show |
      | absent | close                         | doesn't show |
      | absent | stay but take 0.5 s to answer | doesn't show |

  # It waited for 2 s, as long as a change may take to come into force.
  Scenario Outline: A read over a connection that had gone silent failed
    Given a store in which "k" is present
    When "k" is <read> after the store's connections "<event>"
    Then it is found within 1 s, by <n> calls

    Examples:
      | read   | event     | n |
      | listed | go silent | 2 |
      | got    | go silent | 2 |
      | listed | close     | 1 |
      | listed | stay      | 1 |

  Scenario: A watch that is opened again misses no change
    Given a store in which "k" is absent
    When the watch goes silent before a write of "k" and is opened again
    Then it saw "put, put" with rising revisions

  # Nothing else shows that a change was lost.
  Scenario: A watch waits on a silent connection for longer than its longest silence
    Given a store in which "k" is absent
    When the watch goes silent before a write of "k"
    Then it brings the change or fails within 1.5 s

  Scenario: The kernel ends a connection to a silent store in time
    Given a store in which "k" is absent
    When a call and a waiting watch have opened a connection each
    Then the kernel is told to end both after at most 2 s of silence

  Scenario Outline: A response that the store sends twice <moment> answers one request
    When a store sends the response to a refused write twice <moment>, and another write follows
    Then the first write is refused and the second one gets its own response

    Examples:
      | moment      |
      | at once     |
      | 50 ms apart |
