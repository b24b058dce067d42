Feature: Gangs of long jobs
  A gang only advances while all of its members run. Before a runner retires, a checkpoint of the gang is saved and the gang
  relocated to runners that stay. Whatever fails, no gang is lost and none is done twice.

  Background:
    Given 3 dispatchers and 6 runners of 4 slots

  Scenario: A gang runs to its end
    Given a gang m of 4 members that takes 2 minutes
    Then m is done within 3 minutes

  Scenario: A runner retires, and the gang is moved in time
    Given a gang m of 4 members that takes 10 minutes
    When 1 minute passes
    And a runner of m is to retire in 60 seconds
    Then m is done within 12 minutes
    And m was started 2 times
    And at most 20 runner-seconds of work were lost

  Scenario: The end comes before the retirement
    Given a gang m of 4 members that takes 2 minutes
    When 1 minute passes
    And a runner of m is to retire in 180 seconds
    Then m is done within 2 minutes
    And m was started 1 time

  Scenario: A retirement is called off
    Given a gang m of 4 members that takes 5 minutes
    When 1 minute passes
    And a runner of m is to retire in 200 seconds
    And 1 minute passes
    And no runner is to retire
    Then m is done within 6 minutes
    And m was started 1 time

  Scenario: A retirement is brought forward
    Given a gang m of 4 members that takes 10 minutes
    When 1 minute passes
    And a runner of m is to retire in 600 seconds
    And 1 minute passes
    And a runner of m is to retire in 30 seconds
    Then m is done within 12 minutes
    And at most 20 runner-seconds of work were lost

  Scenario: A retirement is overtaken by a crash
    Given a gang m of 4 members that takes 5 minutes
    When 2 minutes pass
    And a runner of m is to retire in 120 seconds
    And a runner of m dies
    Then m is done within 8 minutes
    And m was started 2 times

  Scenario: A whole zone retires within a minute, with room for half
    Given 8 gangs of 2 members that take 10 minutes
    When 1 minute passes
    And zone a is to retire in 60 seconds
    And 3 minutes pass
    Then every gang is running or waiting with a checkpoint
    When zone a is back
    Then all gangs are done within 40 minutes

  Scenario: The acting dispatcher is killed while the gang runs
    Given a gang m of 4 members that takes 5 minutes
    When 2 minutes pass
    And the dispatcher of m is killed
    Then m is done within 8 minutes

  Scenario: All dispatchers are killed at once while a gang is moved
    Given a gang m of 4 members that takes 5 minutes
    When 1 minute passes
    And a runner of m is to retire in 20 seconds
    And 15 seconds pass
    And all dispatchers are killed and restarted
    Then m is done within 8 minutes

  Scenario: Two dispatchers believe that they act
    Given a gang m of 4 members that takes 5 minutes
    When 1 minute passes
    And each dispatcher sees all others as dead
    Then m is done within 60 minutes

  Scenario: The register is cut off during a retirement
    Given a gang m of 4 members that takes 5 minutes
    When 1 minute passes
    And a runner of m is to retire in 30 seconds
    And the register is unresponsive for 60 seconds
    Then m is done within 8 minutes

  Scenario: A save never ends
    Given a gang m of 4 members that takes 5 minutes
    And uploads of checkpoints hang
    When 1 minute passes
    And a runner of m is to retire in 60 seconds
    And 2 minutes pass
    And uploads of checkpoints work again
    Then m is done within 10 minutes

  Scenario: A part of the newest state is damaged
    Given a gang m of 4 members that takes 10 minutes
    When 2 minutes pass
    And checkpoints are damaged from now on
    And 1 minute passes
    And a runner of m dies
    Then m is done within 15 minutes

  Scenario: A target dies while the gang starts, twice
    Given a gang m of 4 members that takes 2 minutes
    And the next 2 starts fail
    Then m is done within 4 minutes
    And m was started 3 times

  Scenario: A dispatcher sleeps, and its gang has moved on when it wakes
    Given a gang m of 4 members that takes 5 minutes
    When 1 minute passes
    And the dispatcher of m is stalled for 60 seconds
    Then m is done within 12 minutes

  Scenario: A large gang waits for many small ones and is done
    Given 12 gangs of 2 members that take 5 minutes
    And a gang m of 16 members that takes 5 minutes
    Then m is done within 30 minutes
    And all gangs are done within 60 minutes
