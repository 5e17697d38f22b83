Feature: Operators' changes and the catalogs of the daemons

  Scenario Outline: Result of an operator's change
    Given a stored class with a target of 100 ms
    When an operator changes it to 80 ms while "<event>"
    Then the operator gets the result "<result>"
    And the stored target is <stored> ms

    Examples:
      | event                                   | result                | stored |
      | nothing happens                         | accepted              | 80     |
      | another operator changed it to 60       | store-conflict        | 60     |
      | it was deleted                          | store-conflict        | none   |
      | the answer is lost                      | accepted              | 80     |
      | the answer is lost, then 60 is written  | store-conflict        | 60     |
      | the store goes down after it            | store-outcome-unknown | 80     |
      | the store is unreachable                | store-unavailable     | 100    |

  Scenario Outline: Deleting a class
    Given a stored class with a target of 100 ms
    When an operator deletes it while "<event>"
    Then the operator gets the result "<result>"

    Examples:
      | event              | result   |
      | nothing happens    | accepted |
      | the answer is lost | accepted |

  Scenario Outline: Pause before the store is tried again
    Given a task that tries again after at most 1.25 s on average
    When <n> attempts have failed after <seconds> s each
    Then its pause is from <least> to <most> s

    Examples:
      | n | seconds | least | most |
      | 1 | 0.0     | 0.3   | 0.7  |
      | 2 | 0.0     | 0.6   | 1.4  |
      | 9 | 0.0     | 0.75  | 1.75 |
      | 9 | 0.5     | 0.25  | 1.25 |
      | 9 | 2.0     | 0.0   | 0.1  |

  Scenario Outline: A zone of <n> daemons whose claims all fail for 600 s
    Given a zone of <n> daemons
    When their claims fail for 600 s
    Then they claim from <least> to <most> times in the last 300 s

    Examples:
      | n   | least | most |
      | 1   | 150   | 300  |
      | 4   | 150   | 300  |
      | 100 | 150   | 300  |

  Scenario Outline: The contact with the lowest id is the guard
    Given the contacts "<contacts>"
    Then the guard is "<guard>"

    Examples:
      | contacts | guard |
      | none     | none  |
      | 2        | 2     |
      | 3, 1, 2  | 1     |

  Scenario Outline: The catalog follows the store and no revision decreases
    Given a watcher that follows a store with classes "a" and "b"
    When "<event>" happens
    Then the catalog finally holds "<classes>"
    And no revision decreased

    Examples:
      | event                                        | classes |
      | b is deleted                                 | a       |
      | b is deleted during an outage                | a       |
      | b is deleted and history is compacted        | a       |
      | c is created, then the watch is cut          | a, b, c |
      | b is deleted and created again               | a, b    |
      | an old copy of b arrives from another daemon | a, b    |
      | a copy of deleted b arrives late             | a       |

  Scenario Outline: A change is read late after the store was <fault>
    Given a watcher that follows a store with classes "a" and "b"
    When c is created while the store is <fault> for 4 to 9 s, with each of 20 seeds
    Then each watcher holds c within 3.0 s of the store's return

    Examples:
      | fault  |
      | down   |
      | silent |

  # Until gossip suspected the contacts and others had claimed their keys, nobody read.
  # Contacts that had lost the store, but answered their peers, were not even suspected.
  Scenario Outline: A daemon reads in place of the contacts if none follows the store, <lost> of <n> <loss>
    When <lost> of <n> contacts <loss> for 60 s, seen by one other daemon of the zone
    Then the first read is within <first> s of that
    And there are between <min> and <max> reads

    Examples:
      | lost | n | loss           | first | min | max |
      | 1    | 1 | end            | 1.2   | 6   | 14  |
      | 2    | 2 | end            | 1.2   | 6   | 14  |
      | 1    | 1 | lose the store | 1.2   | 6   | 14  |
      | 3    | 3 | lose the store | 1.2   | 6   | 14  |
      | 1    | 2 | end            | 0     | 0   | 0   |
      | 1    | 2 | lose the store | 0     | 0   | 0   |
      | 0    | 1 | end            | 0     | 0   | 0   |
      | 0    | 0 | end            | 1.2   | 6   | 14  |

  Scenario Outline: A large zone probes its contact, and reads in place of it, no more often than a small one
    When <n> daemons of a zone hear its contact only by probes, for 10 s
    Then it gets at most 7 probes a second, and nobody reads
    But they read at most 6 times a second once it has lost the store for 10 s

    Examples:
      | n   |
      | 2   |
      | 10  |
      | 56  |
      | 560 |
