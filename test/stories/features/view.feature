Feature: The view of the fleet
  Each dispatcher keeps a view of all others. It may be wrong for some seconds, but corrects itself without an operator.

  Scenario: The whole fleet is started at once
    Given a fleet of 60 dispatchers
    When all are started
    Then within 30 intervals all views agree
    And within 20 more intervals every view has converged

  Scenario: One dispatcher after another is started
    Given a fleet of 10 dispatchers
    When all are started one by one
    Then within 10 intervals all views agree

  Scenario: The first dispatchers are dead when a new one comes
    Given a fleet of 10 dispatchers
    When d3 to d9 are started
    And 20 intervals pass
    Then d5 sees nobody
    When d1 is started
    Then within 20 intervals all views agree

  Scenario: A dispatcher is killed
    Given a running fleet of 30 dispatchers
    When d7 is killed
    Then within 40 intervals all views agree
    And d8 sees d7 as dead

  Scenario: A dispatcher is stopped in order
    Given a running fleet of 30 dispatchers
    When d7 leaves
    Then within 10 intervals all views agree
    And d8 sees d7 as left

  Scenario: Seven in ten are killed at once and come back
    Given a running fleet of 40 dispatchers
    When d0 to d27 are killed
    Then within 80 intervals all views agree
    When d0 to d27 are started
    Then within 30 intervals all views agree

  Scenario: A tenth at a time is restarted
    Given a running fleet of 40 dispatchers
    When all are restarted 4 at a time, 3 intervals apart
    Then within 20 intervals all views agree
    And every dispatcher was started 2 times

  Scenario: A dispatcher comes back under its name within seconds
    Given a running fleet of 20 dispatchers
    When d4 is killed
    And 3 intervals pass
    And d4 is started
    Then within 20 intervals all views agree
    And packets of the previous epoch of d4 are rejected

  Scenario: A machine's clock stands behind when its dispatcher starts again
    Given a running fleet of 20 dispatchers
    And 100 intervals pass
    When d4 is restarted with epoch 5
    Then within 20 intervals all views agree

  Scenario: A zone is cut off for a minute
    Given a running fleet of 30 dispatchers
    When zone a is partitioned from the others
    And 120 intervals pass
    Then d0 sees 9 others
    And d1 sees 19 others
    When all links are up
    Then within 30 intervals all views agree

  Scenario: A few links are cut, and all reach each other through others
    Given a running fleet of 30 dispatchers
    When the link between d1 and d2 is down
    And 200 intervals pass
    Then no dispatcher was declared dead

  Scenario: The fleet is cut in two for half an hour
    Given a running fleet of 20 dispatchers
    When the fleet is partitioned at d10
    And 3600 intervals pass
    Then d0 sees 9 others
    When all links are up
    Then within 40 intervals all views agree

  Scenario: One dispatcher can hear but not be heard
    Given a running fleet of 20 dispatchers
    When all links from d4 are down
    And 100 intervals pass
    Then d5 sees 18 others
    When all links are up
    Then within 30 intervals all views agree

  Scenario: A fifth of all datagrams is lost
    Given a running fleet of 30 dispatchers
    When 20% of datagrams are lost
    And 300 intervals pass
    Then no dispatcher was declared dead

  Scenario: A dispatcher sleeps for 20 seconds
    Given a running fleet of 30 dispatchers
    When d4 is stalled for 40 intervals
    Then within 20 intervals all views agree
    And no dispatcher but d4 was declared dead

  Scenario Outline: A clock jumps
    Given a running fleet of 30 dispatchers
    When the clock of d4 jumps <way> by an hour
    And 60 intervals pass
    Then within 20 intervals all views agree
    And no dispatcher but d4 was declared dead

    Examples:
      | way     |
      | ahead   |
      | back    |
