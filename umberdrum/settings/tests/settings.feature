Feature: Settings are validated when they are read

  Scenario: The required settings alone are valid
    Given the required settings
    Then the settings are accepted

  Scenario Outline: A fault states the section, the key, the expected and the found value
    Given the required settings
    When the key "<key>" of "<section>" is set to "<value>"
    Then the only fault is at "<section>" "<key>" and states "<expected>" and "<found>"

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
    Given the required settings
    When the key "key" of "cluster" is removed
    And the key "x" of "nosuch" is set to "1"
    Then the number of faults is 2

  Scenario: Text that is not valid INI is reported as one fault
    Given the settings text "no section here"
    Then the number of faults is 1
