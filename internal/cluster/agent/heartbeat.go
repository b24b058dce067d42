package agent

import (
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// Fewest fields of a row that say anything.
const (
	leastActive   = 2
	leastFinished = 4
)

// parseHeartbeat reads a heartbeat's body. Fields that aren't known are passed over.
func parseHeartbeat(body string, beat *protocol.Heartbeat) error {
	c := &cursor{text: body}
	if c.peek() != '{' {
		return errors.New("an object is wanted")
	}
	c.object(func(name string) { readField(c, name, beat) })
	return c.end()
}

func readField(c *cursor, name string, beat *protocol.Heartbeat) {
	switch name {
	case "service":
		beat.Service = c.string()
	case "address":
		beat.Address = c.string()
	case "zone":
		beat.Zone = c.string()
	case "version":
		beat.Version = c.string()
	case "state":
		beat.State = protocol.RunnerState(c.string())
	case "slots":
		beat.Slots = int(c.int())
	case "coldRemainingMs":
		beat.ColdRemainingMs = c.int()
	case "remainingMs":
		beat.RemainingMs = c.int()
	case "clockMs":
		beat.ClockMs = c.int()
	case "sequence":
		beat.Sequence = c.uint()
	case "capacity":
		readCapacity(c, &beat.Capacity)
	case "labels":
		c.array(func(int) { beat.Labels = append(beat.Labels, c.string()) })
	case "active":
		c.array(func(int) { beat.Active = append(beat.Active, readActive(c)) })
	case "finished":
		c.array(func(int) { beat.Finished = append(beat.Finished, readFinished(c)) })
	default:
		c.skip()
	}
}

func readCapacity(c *cursor, capacity *protocol.Resources) {
	c.object(func(name string) {
		switch name {
		case "cpu":
			capacity.CPU = c.int()
		case "memoryLimitMb":
			capacity.MemoryMB = c.int()
		case "gpu":
			capacity.GPU = c.int()
		default:
			c.skip()
		}
	})
}

// readActive reads [task, run, saved, percent].
func readActive(c *cursor) (run protocol.ActiveRun) {
	fields := c.array(func(number int) {
		switch number {
		case 0:
			run.Task = c.string()
		case 1:
			run.Run = c.uint()
		case 2:
			run.Saved = c.string()
		case 3:
			run.Percent = c.float()
		default:
			c.skip()
		}
	})
	if fields < leastActive {
		c.fail("a row of active is too short")
	}
	return run
}

// readFinished reads [N, task, run, how, saved].
func readFinished(c *cursor) (run protocol.FinishedRun) {
	fields := c.array(func(number int) {
		switch number {
		case 0:
			run.N = c.uint()
		case 1:
			run.Task = c.string()
		case 2:
			run.Run = c.uint()
		case 3:
			run.How = protocol.RunEnd(c.string())
		case 4:
			run.Saved = c.string()
		default:
			c.skip()
		}
	})
	if fields < leastFinished {
		c.fail("a row of finished is too short")
	}
	return run
}
