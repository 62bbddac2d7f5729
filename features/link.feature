Feature: Authenticated links between processes

  Scenario: Two processes with the same secret exchange messages
    When a peer opens a link with the right secret
    Then its message comes back and both ends know each other's name

  Scenario: A peer without the secret gets no link
    # An attacker or a host of another deployment opens a link. Without authentication it would get
    # leases and rules without any sign for the operator.
    When a peer opens a link with a wrong secret
    Then the link is refused and the handler was not called
