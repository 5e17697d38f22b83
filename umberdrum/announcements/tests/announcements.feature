Feature: Announcements of the upstream

  Scenario Outline: A faulty announcement changes nothing and names the field
    When the upstream announces "<document>"
    Then the status is 400, "<fault>" is named and nothing changes

    Examples:
      | document                                                        | fault     |
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

  Scenario: Announcements, silence and an ordered drain
    When the upstream announces, is silent for 6 s, announces again and is drained by order
    Then the daemon saw "serving, absent, serving, draining"

  Scenario Outline: Announcements that name a run of the upstream keep their order
    When an upstream announces "<announcements>"
    Then it is "<state>" in the end, as run "<run>"

    Examples:
      | announcements                       | state    | run |
      | a1 1 serving                        | serving  | a1  |
      | a1 5 serving, a1 4 draining         | serving  | a1  |
      | a1 5 draining, a1 6 serving         | draining | a1  |
      | a1 5 draining, a1 4 serving         | draining | a1  |
      | a1 5 draining, a2 1 serving         | serving  | a2  |
      | b2 1 serving, a1 9 draining         | serving  | b2  |
      | a1 1 serving, a1 gone               | absent   | -   |
      | a1 1 serving, a1 gone, a1 2 serving | draining | a1  |
      | a1 1 serving, b1 gone               | serving  | a1  |
      | b1 gone, b1 7 serving               | draining | b1  |
      | b1 gone, b0 0 serving               | draining | b0  |
      | b1 gone, b5 1 serving               | serving  | b5  |
      | a1 1 serving, a1 gone, a0 0 serving | draining | a0  |
      | a0 0 serving, a0 gone, a1 9 serving | draining | a1  |
      | a0 0 serving, a1 9 draining, a0 0 serving | draining | a1 |
