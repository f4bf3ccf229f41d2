Feature: VMs that are silent as a whole for a while fail no request
  Nothing of the VMs of a model answers for more than a second, so that no
  connection to them is opened in time either.

  Scenario: all VMs of a model silent for 1300 ms
    Guards against a model that is out of service for seconds, and refused
    requests, because connections to all its upstreams were opened late: an
    opening that timed out was taken for a refused one.
    Given both engines are reached over VMs that can pause
    When 6 callers ask while both VMs are silent for 1300 ms
    Then each of them reads its whole answer
