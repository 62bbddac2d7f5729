Feature: Authenticated links between processes

  Scenario: Two processes with the same secret exchange messages
    When a peer opens a link with the right secret
    Then its message comes back and both ends know each other's name

  Scenario: An end has another role for peers of a certain role
    # Hosts see by the role which messages the other end understands, while others refuse a new one.
    When peers with the roles "host" and "control" open links to an end that is "control-leasing" to hosts
    Then they see the roles "control-leasing" and "control"

  Scenario: A peer without the secret gets no link
    # An attacker or a host of another deployment opens a link. Without authentication it would get
    # leases and rules without any sign for the operator.
    When a peer opens a link with a wrong secret
    Then the link is refused and the handler was not called

  Scenario: A link to a process that no longer responds is closed at once
    # A host is frozen. Guards against those that follow it and go on waiting for it to agree to the
    # end of the link, in which time they look for no other leader.
    Given ends of links that wait for an hour for the other one to agree to their end
    When a peer that no longer responds is found silent
    Then its link has ended

  Scenario: A leader that no longer responds is left at once
    Given ends of links that wait for an hour for the other one to agree to their end
    When the leader of a host no longer responds, and another one leads
    Then the host follows the other one
