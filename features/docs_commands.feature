Feature: The commands that the pages show exist

  Scenario: Every alderhatchctl command line of the pages is one that the program takes
    # A page for a night on call names a command or an option that was renamed. Whoever follows it
    # loses minutes, or tries something else.
    Then each alderhatchctl command line in the pages names a command and options that exist
