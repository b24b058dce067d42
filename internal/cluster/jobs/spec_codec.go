package jobs

import "ospreypond/internal/cluster/protocol"

// Bits of the flags at the beginning of an encoded step. The first five are boolean fields of protocol.Step. A bit with a
// name of the form stepHas… states that the optional fields of this name follow the required fields; without the bit they
// are zero. The bits and the order of the fields in writer.step are part of the encoding of commands and snapshots.
const (
	stepGang = 1 << iota
	stepRackLocal
	stepAtMostOnce
	stepLongRunning
	stepCheckpoints
	stepHasGPU
	stepHasTexts
	stepHasDependsOn
	stepHasAntiAffinity
)

// stepFlags returns the flags of the step's encoding.
func stepFlags(step *protocol.Step) uint64 {
	var flags uint64
	set := func(bit uint64, on bool) {
		if on {
			flags |= bit
		}
	}
	set(stepGang, step.Gang)
	set(stepRackLocal, step.RackLocal)
	set(stepAtMostOnce, step.AtMostOnce)
	set(stepLongRunning, step.LongRunning)
	set(stepCheckpoints, step.Checkpoints)
	set(stepHasGPU, step.GPU != 0)
	set(stepHasTexts, step.Requirements != "" || step.Affinity != "")
	set(stepHasDependsOn, len(step.DependsOn) > 0)
	set(stepHasAntiAffinity, step.AntiAffinity != 0)
	return flags
}

// step writes the flags, Count, CPU, MemoryMB and EstimatedMs, and then those optional fields that the flags name.
func (w *writer) step(step *protocol.Step) {
	flags := stepFlags(step)
	w.unsigned(flags)
	w.signed(int64(step.Count))
	w.signed(step.CPU)
	w.signed(step.MemoryMB)
	w.float(step.EstimatedMs)
	if flags&stepHasGPU != 0 {
		w.signed(step.GPU)
	}
	if flags&stepHasTexts != 0 {
		w.text(step.Requirements)
		w.text(step.Affinity)
	}
	if flags&stepHasDependsOn != 0 {
		w.count(len(step.DependsOn))
		for _, earlier := range step.DependsOn {
			w.signed(int64(earlier))
		}
	}
	if flags&stepHasAntiAffinity != 0 {
		w.signed(int64(step.AntiAffinity))
	}
}

func (r *reader) step(step *protocol.Step) {
	flags := r.unsigned()
	step.Gang = flags&stepGang != 0
	step.RackLocal = flags&stepRackLocal != 0
	step.AtMostOnce = flags&stepAtMostOnce != 0
	step.LongRunning = flags&stepLongRunning != 0
	step.Checkpoints = flags&stepCheckpoints != 0
	step.Count = r.integer()
	step.CPU = r.signed()
	step.MemoryMB = r.signed()
	step.EstimatedMs = r.float()
	if flags&stepHasGPU != 0 {
		step.GPU = r.signed()
	}
	if flags&stepHasTexts != 0 {
		step.Requirements = r.text()
		step.Affinity = r.text()
	}
	if flags&stepHasDependsOn != 0 {
		step.DependsOn = make([]int, r.count())
		for i := range step.DependsOn {
			step.DependsOn[i] = r.integer()
		}
	}
	if flags&stepHasAntiAffinity != 0 {
		step.AntiAffinity = r.integer()
	}
}

// spec writes Spec, Repetitions, FirstRunMs and IntervalMs if Repetitions isn't 0, and the steps.
func (w *writer) spec(spec *protocol.JobSpec) {
	w.text(spec.Spec)
	w.signed(int64(spec.Repetitions))
	if spec.Repetitions != 0 {
		w.signed(spec.FirstRunMs)
		w.signed(spec.IntervalMs)
	}
	w.count(len(spec.Steps))
	for i := range spec.Steps {
		w.step(&spec.Steps[i])
	}
}

func (r *reader) spec(spec *protocol.JobSpec) {
	spec.Spec = r.text()
	spec.Repetitions = r.integer()
	if spec.Repetitions != 0 {
		spec.FirstRunMs = r.signed()
		spec.IntervalMs = r.signed()
	}
	steps := r.count()
	if steps > 0 {
		spec.Steps = make([]protocol.Step, steps)
	}
	for i := range spec.Steps {
		r.step(&spec.Steps[i])
	}
}

// queue writes all fields of a queue.
func (w *writer) queue(queue *protocol.Queue) {
	w.text(queue.Key)
	w.text(queue.Service)
	w.signed(int64(queue.Priority))
	w.signed(int64(queue.MaxAttempts))
	w.float(queue.Extension)
	w.signed(queue.TargetLatencyMs)
}

func (r *reader) queue() (queue protocol.Queue) {
	queue.Key = r.text()
	queue.Service = r.text()
	queue.Priority = r.integer()
	queue.MaxAttempts = r.integer()
	queue.Extension = r.float()
	queue.TargetLatencyMs = r.signed()
	return queue
}
