Feature: A daemon starts with little processor time

  Scenario: the program is imported
    Guards against callers that wait after a restart, while the garbage
    collector looks again and again at what the imports have created.

    When a process imports the daemon between a pause of the collector and its end
    Then no collection was triggered by new objects
    And the collector is on, and looks at none of the imported objects
