Feature: Settings are checked at the start

  Scenario: The least settings are valid
    Given valid settings
    Then they are accepted

  Scenario Outline: A fault is named with section, key, expectation and finding
    Given valid settings
    When "<key>" of "<section>" is "<value>"
    Then the only fault is at "<section>" "<key>" and says "<expected>" and "<found>"

    Examples:
      | section  | key               | value     | expected                 | found          |
      | listen   | caller            | nowhere   | an address IP:PORT       | found 'nowhere' |
      | listen   | peer              | 1.2.3.4:99999 | an address IP:PORT   | found '1.2.3.4:99999' |
      | listen   | admin             | host:80   | an address IP:PORT       | found 'host:80' |
      | cluster  | key               | abcd      | at least 16 bytes        | found 'abcd'   |
      | cluster  | contacts_per_zone | 0         | a whole number of 1 to 5 | found '0'      |
      | cluster  | seeds             | x         | addresses IP:PORT        | found 'x'      |
      | limits   | head_bytes        | ten       | a whole number           | found 'ten'    |
      | limits   | grace_ms          | -1        | a whole number           | found '-1'     |
      | log      | level             | loud      | one of debug             | found 'loud'   |
      | routing  | policy            | best      | one of finish_time       | found 'best'   |
      | instance | region            | a b       | letters, digits          | found 'a b'    |
      | store    | prefix            | /x        | a key prefix             | found '/x'     |
      | limits   | head_byte         | 4096      | one of the keys          | found 'head_byte' |

  Scenario: A missing key and an unknown section are both reported
    Given valid settings
    When the key "key" of "cluster" is left out
    And "x" of "nosuch" is "1"
    Then there are 2 faults

  Scenario: A text that is no INI is one fault
    Given the settings text "no section here"
    Then there are 1 faults
