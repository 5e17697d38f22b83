Feature: Proper requests are not refused as the caller's fault

  # The bytes behind a body that was relayed while it arrived were dropped.
  Scenario Outline: A request behind a long body was refused as malformed
    When a caller sends <n_bytes> body bytes to the <place> daemon, whose last part brings <share> of the next request
    Then it gets both responses of the upstream

    Examples:
      | n_bytes | place    | share |
      | 50000   | entry    | half  |
      | 100000  | entry    | half  |
      | 100000  | entry    | all   |
      | 100000  | endpoint | half  |
      | 400000  | entry    | half  |
      | 400000  | endpoint | all   |

  Scenario Outline: A planned stop lost a request behind a long body
    When a caller sends <n_bytes> body bytes and all of the next request, and the daemon is stopped during the first
    Then it gets both responses of the upstream

    Examples:
      | n_bytes |
      | 50000   |
      | 100000  |
