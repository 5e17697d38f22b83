Feature: Announcements of the upstream

  Scenario Outline: An invalid announcement is rejected with the name of the field
    When the upstream sends the announcement "<document>"
    Then the status is 400, the detail contains "<text>" and no state changes

    Examples:
      | document                                                        | text      |
      | not json                                                        | JSON      |
      | []                                                              | object    |
      | {}                                                              | service   |
      | {"service":"Cards"}                                             | service   |
      | {"service":"cards","address":"host:1","slots":1,"state":"serving"} | address |
      | {"service":"cards","address":"1.2.3.4:5","slots":0,"state":"serving"} | slots |
      | {"service":"cards","address":"1.2.3.4:5","slots":true,"state":"serving"} | slots |
      | {"service":"cards","address":"1.2.3.4:5","slots":1,"state":"up"} | state    |
      | {"service":"cards","address":"1.2.3.4:5","slots":1,"state":"serving","weight":3} | 'weight' |
      | {"service":"cards","address":"1.2.3.4:5","slots":1,"state":"serving","load_path":"x"} | load_path |

  Scenario: Announcements, a timeout and a drain order
    When the upstream announces, pauses for 6 s, announces again and an operator orders a drain
    Then the listener received "serving, absent, serving, draining"

  Scenario Outline: Announcements that name a run of the upstream are applied in order
    # "a1 5 serving" is instance ID a, start time 1 ms, sequence number 5. An unknown run
    # that withdraws is recorded as started by 3 ms. A start time of 0 is unknown.
    When the upstream sends the announcements "<announcements>"
    Then its final state is "<state>" and its run is "<run>"

    Examples:
      | announcements                             | state    | run |
      | a1 1 serving                              | serving  | a1  |
      | a1 5 serving, a1 4 draining               | serving  | a1  |
      | a1 5 draining, a1 6 serving               | draining | a1  |
      | a1 5 draining, a1 4 serving               | draining | a1  |
      | a1 5 draining, a2 1 serving               | serving  | a2  |
      | b2 1 serving, a1 9 draining               | serving  | b2  |
      | a1 1 serving, a1 withdrawn                | absent   | -   |
      | a1 1 serving, a1 withdrawn, a1 2 serving  | draining | a1  |
      | a1 1 serving, b1 withdrawn                | serving  | a1  |
      | b1 withdrawn, b1 7 serving                | draining | b1  |
      | b1 withdrawn, b0 0 serving                | draining | b0  |
      | b1 withdrawn, b5 1 serving                | serving  | b5  |
      | a1 1 serving, a1 withdrawn, a0 0 serving  | draining | a0  |
      | a0 0 serving, a0 withdrawn, a1 9 serving  | draining | a1  |
      | a0 0 serving, a1 9 draining, a0 0 serving | draining | a1  |
      | a1 recalled, a1 1 serving                 | draining | a1  |
      | a1 1 serving, a1 recalled, a1 2 serving   | draining | a1  |
      | a1 recalled, a2 1 serving                 | serving  | a2  |

  Scenario Outline: A run that may have ended is held until other daemons have been heard
    When the upstream sends the announcements "held, <announcements>"
    Then the listener received "<states>"

    Examples:
      | announcements                      | states            |
      | a1 1 serving, a1 recalled          | draining          |
      | a1 1 serving, a2 recalled          | serving           |
      | a1 1 serving, over, a1 recalled    | serving, draining |
      | a1 1 serving, a1 2 draining, over  | draining          |
      | a1 1 serving, a1 withdrawn, over   | absent            |
      | a0 1 serving, over                 | serving           |
