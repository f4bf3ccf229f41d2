Feature: Dependencies point downwards only
  A decision that could reach a socket or the wall clock could not be run in
  a test, and a cycle between packages hides which stage knows what.

  Scenario: every package imports only what the design lets it
    When the imports of every module are read
    Then no package reaches outside its allowance

  Scenario: the decisions are free of input, output, time and chance
    When the imports of every module are read
    Then policy imports no module that does input or output
