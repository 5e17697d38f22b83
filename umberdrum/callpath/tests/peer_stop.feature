Feature: A planned stop of an endpoint daemon ends no call on its links with an unknown outcome

  The calls come from an entry daemon that does not know of the stop yet.

  Scenario Outline: Calls that cross the end of an endpoint daemon are proven not run
    When 48 <class> calls are sent over peer links just as the endpoint daemon <moment>
    Then each of them got a response, or is proven not to have run
    And the number of responses equals the number of runs

    Examples:
      | class | moment         |
      | pay   | begins to stop |
      | pay   | ends           |
      | look  | begins to stop |
      | look  | ends           |

  Scenario Outline: A call that outlasts the grace period ends with what is known of it
    When a <class> call outlasts the grace period of an endpoint daemon <while>
    Then it ends with "<result>" at the end of that period

    Examples:
      | class | while                       | result                        |
      | pay   | on its link                 | endpoint-leaving/may-have-run |
      | look  | on its link                 | endpoint-leaving/may-have-run |
      | pay   | and its outcome is queried  | link-broke/may-have-run       |
