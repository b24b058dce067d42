package agent

import (
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// Least numbers of fields in rows of runs. The fields after them may be absent, and are then zero values.
const (
	minActiveFields   = 2 // task, run
	minFinishedFields = 4 // N, task, run, how
)

// parseHeartbeat decodes the JSON body of a heartbeat. It has the same result as json.Unmarshal, and takes a
// small fraction of the time. Unknown fields are ignored.
func parseHeartbeat(body string, heartbeat *protocol.Heartbeat) error {
	r := &jsonReader{text: body}
	if r.peek() != '{' {
		return errors.New("expected a JSON object")
	}
	r.object(func(name string) { readField(r, name, heartbeat) })
	return r.end()
}

// readField reads the value of the heartbeat's field of that name.
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

// readCapacity reads the object that has a runner's capacity.
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

// readActive reads the row [task, run, checkpoint, percent]; see protocol.ActiveRun.
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
		r.fail("a row of active lacks its task or its run")
	}
	return run
}

// readFinished reads the row [N, task, run, how, checkpoint]; see protocol.FinishedRun.
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
		r.fail("a row of finished lacks its number, task, run or end")
	}
	return run
}
