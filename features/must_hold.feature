Feature: What must always hold, over real processes

  Scenario: A request is answered from end to end
    Given a deployment of 3 control VMs and 3 entries
    When a desk searches all yards through each entry
    Then each answer covers every shard of one snapshot
    And each answer holds exactly the records that match
    And an oversized body is refused as not run, naming the place

  Scenario: A resent hold runs once, through whichever entry
    Given a deployment of 3 control VMs and 3 entries
    When a desk places the hold "canoe-4" through entry 1
    And the desk resends the hold "canoe-4" through entry 2
    Then both answers are the same
    And the hold "canoe-4" ran once

  Scenario: The control leader is killed
    Given a deployment of 3 control VMs and 3 entries
    When the control leader is killed
    Then another leader is found within 5 seconds
    And a change is accepted and in force everywhere within 7 seconds
    And every search meanwhile covered every shard

  Scenario: The control leader freezes and wakes
    Given a deployment of 3 control VMs and 3 entries
    When the control leader is frozen for 6 seconds while a change is applied
    Then the change is still in force after it wakes

  Scenario: An owner is killed
    Given a deployment of 3 control VMs and 3 entries
    When entry 2 is killed
    Then searches through entry 1 are complete again within 2 seconds
    And every endpoint has an owner again within 7 seconds

  Scenario: An owner freezes for longer than its lease and wakes
    Given a deployment of 3 control VMs and 3 entries
    When entry 2 is frozen for 6 seconds while holds are placed
    Then no hold ran twice
    And no endpoint was pushed past its slots

  Scenario: An entry is shut down gracefully under load
    Given a deployment of 3 control VMs and 3 entries
    When entry 3 is asked to stop while it answers searches
    Then every search that it took was answered in whole
    And it stopped with exit code 0

  Scenario: An endpoint leaves
    Given a deployment of 3 control VMs and 3 entries
    When an endpoint announces that it leaves under load
    Then it gets no new work after 3 seconds
    And searches stay complete

  Scenario: Connections to an endpoint go silent
    Given a deployment of 3 control VMs and 3 entries
    When all connections to one endpoint go silent under load
    Then every search is still complete

  Scenario: Two operators race and resend
    Given a deployment of 3 control VMs and 3 entries
    When two operators apply a change on the same revision at once
    Then exactly one is accepted and the other gets a conflict
    And a resend of either gets its first answer

  Scenario: A lost disk, and a second VM right after the repair
    Given a deployment of 3 control VMs and 3 entries
    When a control VM loses its disk and comes back
    Then 3 voters are configured again within 10 seconds
    When another control VM is killed right after
    Then a change is accepted and in force everywhere within 7 seconds

  Scenario: All control VMs restart after 500 changes
    Given a deployment of 3 control VMs and 3 entries
    When 500 changes are applied and all control VMs are killed and started
    Then the current revision is the last accepted one

  Scenario: A leader is cut off from the other control VMs for a long time
    Given a deployment whose control VM "control-1" can be cut off
    When "control-1" leads and is cut off from the other control VMs
    Then another leader is found within 5 seconds
    And a change is accepted and in force everywhere within 7 seconds
    When "control-1" is reached by the others again
    Then the change is still in force after it wakes

  Scenario: An entry that only reaches the cut-off leader serves nothing stale
    Given a deployment whose control VM "control-1" can be cut off
    When "control-1" leads and is cut off from the other control VMs
    And entry 1 reaches no control VM but "control-1"
    Then entry 1 refuses searches as not run within 5 seconds
