Feature: Nothing changes until a plan is confirmed
  Operators state an intent; a plan shows what would change; confirming it
  is one compare-and-swap on its base.

  Background:
    Given 2 instances and 1 engine

  Scenario: A plan alone changes nothing
    When an operator plans the declarations
    Then every instance is at revision 0

  Scenario: A confirmed plan is in force everywhere
    When an operator confirms the declarations
    Then the outcome is "confirmed"
    And every instance reaches revision 1

  Scenario: Confirming twice is the same as once
    When an operator confirms the declarations
    And the same plan is confirmed again through the other instance
    Then the outcome is "already_confirmed"
    And every instance reaches revision 1

  Scenario: Two operators change the same thing
    Given the declarations are confirmed
    And two operators plan different queues for the same service
    When both confirm
    Then one outcome is "confirmed" and the other is "conflict"
    And the conflict names "services.writers"

  Scenario: The answer of the write is lost
    Given the store loses the answers of writes
    When an operator confirms the declarations
    Then the outcome is "already_confirmed"
    And every instance reaches revision 1

  Scenario: The store is down
    Given the store is down
    When an operator confirms the declarations
    Then the outcome is "unavailable"

  Scenario: A new instance starts while the store is down
    Given the declarations are confirmed
    And the store is down
    When a third instance starts
    Then every instance reaches revision 1

  Scenario: A plan that was edited is refused
    When an operator edits a plan and confirms it
    Then the outcome is "tampered"

  Scenario: A plan is larger than a value of the store
    When an operator confirms 5000 customers at once
    Then the outcome is "too_large"
    And the detail names the size and the limit
    And every instance is at revision 0
