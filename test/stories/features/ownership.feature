Feature: Ownership of numbers
  Budgets are divided into one quota for each number. A number passes to another dispatcher only on proof that its own one is dead.

  Scenario: In calm each uses its own part
    Given a running fleet of 12 dispatchers that share budgets
    Then every number is owned by its own dispatcher

  Scenario: Nobody uses anything right after a start
    Given a fleet of 12 dispatchers that share budgets
    When all are started
    And 3 intervals pass
    Then no number is owned
    When 30 intervals pass
    Then every number is owned by its own dispatcher

  Scenario: Seven in ten are killed at once
    Given a running fleet of 20 dispatchers that share budgets
    When d0 to d13 are killed
    Then within 40 intervals every number is owned
    And no number ever had two owners

  Scenario: The killed come back
    Given a running fleet of 20 dispatchers that share budgets
    When d0 to d13 are killed
    And 40 intervals pass
    And d0 to d13 are started
    Then within 60 intervals every number is owned by its own dispatcher
    And no number ever had two owners

  Scenario: A zone is cut off
    Given a running fleet of 18 dispatchers that share budgets
    When zone b is partitioned from the others
    And 200 intervals pass
    Then every number is owned by its own dispatcher

  Scenario: A dispatcher is killed on the other side of a cut
    Given a running fleet of 18 dispatchers that share budgets
    When the fleet is partitioned at d9
    And d3 is killed
    Then within 60 intervals every number is owned
    And no number ever had two owners
    And number 3 is owned on the side of d0

  Scenario: A dispatcher sleeps while others die
    Given a running fleet of 12 dispatchers that share budgets
    When d5 is stopped
    And d0 to d4 are killed
    And 40 intervals pass
    And d5 is continued
    Then within 60 intervals every number is owned
    And no number ever had two owners

  Scenario: A dispatcher that is only slow keeps its part
    Given a running fleet of 12 dispatchers that share budgets
    When d5 is stopped
    And 200 intervals pass
    Then number 5 has no other owner

  Scenario: A rolling restart on a bad network
    Given a running fleet of 20 dispatchers that share budgets
    When 20% of datagrams are lost
    And all are restarted 2 at a time, 5 intervals apart
    Then within 80 intervals every number is owned by its own dispatcher
    And no number ever had two owners
