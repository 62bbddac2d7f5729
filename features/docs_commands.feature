Feature: Commands in the documentation exist

  Scenario: Every alderhatchctl command line in the documentation names an existing command
    # Guards against a page that still names a command or an option after it was renamed. An
    # operator who follows the page during an incident loses time.
    Then each alderhatchctl command line in the documentation names a command and options that exist
