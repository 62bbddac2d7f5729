Feature: Routes, traffic splits and merged answers of forwarded requests

  Scenario: The longest prefix decides, as in a naive search over all routes
    Then over random routes and paths the table finds what a naive search finds

  Scenario Outline: The route of a path
    Given routes of "fleet.example" with the prefixes "/" "/paths/" "/paths/hall/"
    Then a request for "<path>" of "<host>" has the route "<prefix>"

    Examples:
      | host          | path          | prefix       |
      | fleet.example | /paths/hall/7 | /paths/hall/ |
      | fleet.example | /paths/hall   | /paths/      |
      | fleet.example | /paths/       | /paths/      |
      | fleet.example | /paths        | /            |
      | fleet.example | /other        | /            |
      | other.example | /paths/hall/7 | none         |

  Scenario: A split keeps to its weights with few requests too
    # With a random choice, a hundred requests deviate so far from a weight of a half that the
    # operator takes the split for broken.
    Given a split of "old" with weight 3, "new" with weight 1 and "off" with weight 0
    Then of 100 requests 75 go to "old", 25 to "new" and 0 to "off"

  Scenario: The merge returns the greatest records of all parts, as a naive sort does
    Then over random parts the merge gives what a naive sort gives

  Scenario Outline: The path of the target "<target>"
    # Guards against a request that runs on a route whose prefix its path doesn't begin with.
    Then the target "<target>" has the path "<path>" and the parameter "q" is "<q>"

    Examples:
      | target                  | path          | q        |
      | /orders/a               | /orders/a     |          |
      | /orders/a?q=1           | /orders/a     | 1        |
      | //x/orders/a            | //x/orders/a  |          |
      | //x/orders/a?q=/orders/ | //x/orders/a  | /orders/ |
      | ///orders/a             | ///orders/a   |          |
      | /orders/a;v=1?q=1#f     | /orders/a;v=1 | 1#f      |
      | /a#/orders/             | /a#/orders/   |          |
      | http://h/orders/a?q=1   | /orders/a     | 1        |

  Scenario: Any target that begins with a slash
    Then the path of any such target is the target up to its first question mark
