package agent

import (
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// Least lengths of rows. Later fields may be absent.
const (
	minActiveFields   = 2
	minFinishedFields = 4
)

// parseHeartbeat reads a heartbeat's body as json.Unmarshal does, only faster. Unknown fields are ignored.
func parseHeartbeat(body string, heartbeat *protocol.Heartbeat) error {
	r := &jsonReader{text: body}
	if r.peek() != '{' {
		return errors.New("expected an object")
	}
	r.object(func(name string) { readField(r, name, heartbeat) })
	return r.end()
}

// readField reads the value of a heartbeat's field.
func readField(r *jsonReader, name string, heartbeat *protocol.Heartbeat) {
	switch name {
	case "service":
		heartbeat.Service = r.string()
	case "address":
		heartbeat.Address = r.string()
	case "zone":
		heartbeat.Zone = r.string()
	case "version":
		heartbeat.Version = r.string()
	case "state":
		heartbeat.State = protocol.RunnerState(r.string())
	case "slots":
		heartbeat.Slots = int(r.int())
	case "coldRemainingMs":
		heartbeat.ColdRemainingMs = r.int()
	case "remainingMs":
		heartbeat.RemainingMs = r.int()
	case "clockMs":
		heartbeat.ClockMs = r.int()
	case "sequence":
		heartbeat.Sequence = r.uint()
	case "capacity":
		readCapacity(r, &heartbeat.Capacity)
	case "labels":
		r.array(func(int) { heartbeat.Labels = append(heartbeat.Labels, r.string()) })
	case "active":
		r.array(func(int) { heartbeat.Active = append(heartbeat.Active, readActive(r)) })
	case "finished":
		r.array(func(int) { heartbeat.Finished = append(heartbeat.Finished, readFinished(r)) })
	default:
		r.skip()
	}
}

func readCapacity(r *jsonReader, capacity *protocol.Resources) {
	r.object(func(name string) {
		switch name {
		case "cpu":
			capacity.CPU = r.int()
		case "memoryLimitMb":
			capacity.MemoryMB = r.int()
		case "gpu":
			capacity.GPU = r.int()
		default:
			r.skip()
		}
	})
}

// readActive reads [task, run, checkpoint, percent].
func readActive(r *jsonReader) (run protocol.ActiveRun) {
	fields := r.array(func(index int) {
		switch index {
		case 0:
			run.Task = r.string()
		case 1:
			run.Run = r.uint()
		case 2:
			run.Saved = r.string()
		case 3:
			run.Percent = r.float()
		default:
			r.skip()
		}
	})
	if fields < minActiveFields {
		r.fail("too few fields in a row of active")
	}
	return run
}

// readFinished reads [N, task, run, how, checkpoint].
func readFinished(r *jsonReader) (run protocol.FinishedRun) {
	fields := r.array(func(index int) {
		switch index {
		case 0:
			run.N = r.uint()
		case 1:
			run.Task = r.string()
		case 2:
			run.Run = r.uint()
		case 3:
			run.How = protocol.RunEnd(r.string())
		case 4:
			run.Saved = r.string()
		default:
			r.skip()
		}
	})
	if fields < minFinishedFields {
		r.fail("too few fields in a row of finished")
	}
	return run
}
