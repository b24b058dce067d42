Feature: Who is there
  Each dispatcher keeps a view of all others. It may be wrong for some seconds; it is never wrong for long, and nobody has to
  help it.

  Scenario: The whole fleet is started at once
    Given a fleet of 60 dispatchers
    When all are started
    Then within 30 intervals all know each other
    And within 20 more intervals every view is settled

  Scenario: One dispatcher after another is started
    Given a fleet of 10 dispatchers
    When all are started one by one
    Then within 10 intervals all know each other

  Scenario: The first dispatchers are dead when a new one comes
    Given a fleet of 10 dispatchers
    When d3 to d9 are started
    And 20 intervals pass
    Then d5 knows nobody
    When d1 is started
    Then within 20 intervals all know each other

  Scenario: A dispatcher is killed
    Given a running fleet of 30 dispatchers
    When d7 is killed
    Then within 40 intervals all know each other
    And d8 holds d7 dead

  Scenario: A dispatcher is stopped in order
    Given a running fleet of 30 dispatchers
    When d7 leaves
    Then within 10 intervals all know each other
    And d8 holds d7 left

  Scenario: Seven in ten are killed at once and come back
    Given a running fleet of 40 dispatchers
    When d0 to d27 are killed
    Then within 80 intervals all know each other
    When d0 to d27 are started
    Then within 30 intervals all know each other

  Scenario: A tenth at a time is restarted
    Given a running fleet of 40 dispatchers
    When all are restarted 4 at a time, 3 intervals apart
    Then within 20 intervals all know each other
    And every dispatcher is in its life number 2

  Scenario: A dispatcher comes back under its name within seconds
    Given a running fleet of 20 dispatchers
    When d4 is killed
    And 3 intervals pass
    And d4 is started
    Then within 20 intervals all know each other
    And what the old life of d4 still sends is dropped

  Scenario: A machine's clock stands behind when its dispatcher starts again
    Given a running fleet of 20 dispatchers
    And 100 intervals pass
    When d4 is started again in life 5
    Then within 20 intervals all know each other

  Scenario: A zone is cut off for a minute
    Given a running fleet of 30 dispatchers
    When zone a is cut off
    And 120 intervals pass
    Then d0 knows 9 others
    And d1 knows 19 others
    When the links are mended
    Then within 30 intervals all know each other

  Scenario: A few links are cut, and all reach each other through others
    Given a running fleet of 30 dispatchers
    When the link between d1 and d2 is cut
    And 200 intervals pass
    Then nobody was held dead

  Scenario: The fleet is cut in two for half an hour
    Given a running fleet of 20 dispatchers
    When the fleet is cut in two at d10
    And 3600 intervals pass
    Then d0 knows 9 others
    When the links are mended
    Then within 40 intervals all know each other

  Scenario: One dispatcher can hear but not be heard
    Given a running fleet of 20 dispatchers
    When d4 can't be heard
    And 100 intervals pass
    Then d5 knows 18 others
    When the links are mended
    Then within 30 intervals all know each other

  Scenario: A fifth of all datagrams is lost
    Given a running fleet of 30 dispatchers
    When 20% of datagrams are lost
    And 300 intervals pass
    Then nobody was held dead

  Scenario: A dispatcher sleeps for 20 seconds
    Given a running fleet of 30 dispatchers
    When d4 sleeps for 40 intervals
    Then within 20 intervals all know each other
    And nobody but d4 was held dead

  Scenario Outline: A clock jumps
    Given a running fleet of 30 dispatchers
    When the clock of d4 jumps <way> by an hour
    And 60 intervals pass
    Then within 20 intervals all know each other
    And nobody but d4 was held dead

    Examples:
      | way     |
      | ahead   |
      | back    |
