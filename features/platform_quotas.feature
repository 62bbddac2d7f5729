Feature: Quotas of organisations in a tier of node processes

  Scenario: Callers at every host share one quota
    # Guards against a quota that each host grants in full.
    Given a platform tier whose settings allow a margin of 4, with a quota of 5 requests per second and a burst of 10
    When callers of the organisation ask at all hosts, more often than the quota allows
    Then no more were served than the quota and the margin allow
    And the others were refused with 429, each with a time to return, and servers never saw them
    And callers of an organisation without a quota are served
