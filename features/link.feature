Feature: Links between our own processes

  Scenario: Two processes with the same secret exchange messages
    When a peer opens a link with the right secret
    Then its message comes back and both ends know each other's name

  Scenario: A peer without the secret gets no link
    # Somebody on the network, or a host of another deployment, opens a link. Without a check it
    # would be handed leases and rules; the operator would notice nothing.
    When a peer opens a link with a wrong secret
    Then the link is refused and the handler was not called
