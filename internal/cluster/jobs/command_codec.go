package jobs

import (
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// An encoded command is a version byte and then the fields of Command in the order below. A list is the number of its items
// and then the items. The fields of an item are written in the order given after the colon.
//
//	TimeOfDayMs
//	Submits:         ID, Queue, Job (both in spec_codec.go), Version
//	Cancels:         id
//	Fences:          ID, Version
//	Ends:            Runner*, N, Task, Run, Outcome, Checkpoint
//	Losses:          Runner*, Task, Run, Checkpoint
//	Starts:          Task, Run, Runner*
//	RunnerAddresses: Runner, Address
//	Departures:      incarnation (only since version 4)
//
// A Task is Job*, Repetition, Step, Index. Texts marked with * are written by writer.repeated: it shortens a runner that
// equals the previous runner marked so, and a job that equals the previous job marked so.
//
// Log entries of earlier releases stay in logs and are read again after a restart. So a change of this order needs a new
// version, and Decode must keep reading the old one.
const (
	commandVersion                  = 4
	commandVersionWithoutDepartures = 3 // written by earlier releases
)

// outcomeCodes are the outcomes that are encoded as one byte: their position here plus 1. Any other outcome is encoded as
// the byte 0 and its text. The order is part of the encoding: new outcomes can only be appended.
var outcomeCodes = [...]protocol.RunEnd{
	protocol.EndDone,
	protocol.EndFailed,
	protocol.EndStopped,
	protocol.EndLapsed,
	protocol.EndBroken,
	protocol.EndAlone,
	protocol.EndRefused,
}

// previousTexts are the last job id and the last runner that were written or read. Both often repeat from item to item, so
// writer.repeated encodes a repetition as one byte.
type previousTexts struct{ job, runner string }

// Encode encodes the command as an entry of the shard's log. The error is always nil.
func Encode(c *Command) ([]byte, error) {
	w := &writer{data: make([]byte, 0, sizeHint(c))}
	last := &previousTexts{}
	w.byte(commandVersion)
	w.signed(c.TimeOfDayMs)
	w.count(len(c.Submits))
	for i := range c.Submits {
		w.text(c.Submits[i].ID)
		w.queue(&c.Submits[i].Queue)
		w.spec(&c.Submits[i].Job)
		w.unsigned(c.Submits[i].Version)
	}
	w.texts(c.Cancels)
	w.fences(c.Fences)
	w.count(len(c.Ends))
	for i := range c.Ends {
		w.end(&c.Ends[i], last)
	}
	w.count(len(c.Losses))
	for i := range c.Losses {
		w.loss(&c.Losses[i], last)
	}
	w.count(len(c.Starts))
	for i := range c.Starts {
		w.start(&c.Starts[i], last)
	}
	w.count(len(c.RunnerAddresses))
	for i := range c.RunnerAddresses {
		w.text(c.RunnerAddresses[i].Runner)
		w.text(c.RunnerAddresses[i].Address)
	}
	w.texts(c.Departures)
	return w.data, nil
}

// sizeHint estimates the size of the encoded command in bytes, so that its buffer seldom has to grow.
func sizeHint(c *Command) int {
	const head, item, perSubmit, perStep = 32, 64, 128, 48 // bytes
	size := head + item*(len(c.Cancels)+len(c.Fences)+len(c.Ends)+len(c.Losses)+len(c.Starts)+len(c.RunnerAddresses)+len(c.Departures))
	for i := range c.Submits {
		size += perSubmit + len(c.Submits[i].Job.Spec) + perStep*len(c.Submits[i].Job.Steps)
	}
	return size
}

// Decode decodes an entry of the shard's log. It accepts the encodings of this and of earlier releases. All strings of the
// command share one copy of the entry: a caller that keeps a string must clone it, or else the complete entry stays in
// memory.
func Decode(data []byte) (*Command, error) {
	r := newReader(data)
	version := r.byte()
	if version != commandVersion && version != commandVersionWithoutDepartures {
		return nil, errors.Errorf("command of version %d: the newest version that this release reads is %d", version, commandVersion)
	}
	last := &previousTexts{}
	c := &Command{TimeOfDayMs: r.signed()}
	c.Submits = makeItems[Submit](r)
	for i := range c.Submits {
		c.Submits[i].ID = r.text()
		c.Submits[i].Queue = r.queue()
		r.spec(&c.Submits[i].Job)
		c.Submits[i].Version = r.unsigned()
	}
	c.Cancels = r.texts()
	c.Fences = r.fences()
	c.Ends = makeItems[End](r)
	for i := range c.Ends {
		r.end(&c.Ends[i], last)
	}
	c.Losses = makeItems[Loss](r)
	for i := range c.Losses {
		r.loss(&c.Losses[i], last)
	}
	c.Starts = makeItems[Start](r)
	for i := range c.Starts {
		r.start(&c.Starts[i], last)
	}
	c.RunnerAddresses = makeItems[RunnerAddress](r)
	for i := range c.RunnerAddresses {
		c.RunnerAddresses[i].Runner = r.text()
		c.RunnerAddresses[i].Address = r.text()
	}
	if version != commandVersionWithoutDepartures {
		c.Departures = r.texts()
	}
	if err := r.done(); err != nil {
		return nil, errors.Wrap(err, "command")
	}
	return c, nil
}

// makeItems reads the number of the items that follow and returns a slice for them, or nil if there are none. The caller
// reads the items.
func makeItems[T any](r *reader) []T {
	count := r.count()
	if count == 0 {
		return nil
	}
	return make([]T, count)
}

func (w *writer) texts(texts []string) {
	w.count(len(texts))
	for _, text := range texts {
		w.text(text)
	}
}

func (r *reader) texts() []string {
	texts := makeItems[string](r)
	for i := range texts {
		texts[i] = r.text()
	}
	return texts
}

func (w *writer) fences(fences []Fence) {
	w.count(len(fences))
	for i := range fences {
		w.text(fences[i].ID)
		w.unsigned(fences[i].Version)
	}
}

func (r *reader) fences() []Fence {
	fences := makeItems[Fence](r)
	for i := range fences {
		fences[i].ID = r.text()
		fences[i].Version = r.unsigned()
	}
	return fences
}

func (w *writer) task(id *TaskID, last *previousTexts) {
	w.repeated(id.Job, &last.job)
	w.signed(int64(id.Repetition))
	w.signed(int64(id.Step))
	w.signed(int64(id.Index))
}

func (r *reader) task(last *previousTexts) (id TaskID) {
	id.Job = r.repeated(&last.job)
	id.Repetition = r.integer()
	id.Step = r.integer()
	id.Index = r.integer()
	return id
}

func (w *writer) outcome(outcome protocol.RunEnd) {
	for i, known := range outcomeCodes {
		if known == outcome {
			w.byte(byte(i + 1))
			return
		}
	}
	w.byte(0)
	w.text(string(outcome))
}

func (r *reader) outcome() protocol.RunEnd {
	code := int(r.byte())
	if code == 0 {
		return protocol.RunEnd(r.text())
	}
	if code > len(outcomeCodes) {
		r.fail()
		return ""
	}
	return outcomeCodes[code-1]
}

func (w *writer) end(end *End, last *previousTexts) {
	w.repeated(end.Runner, &last.runner)
	w.unsigned(end.N)
	w.task(&end.Task, last)
	w.unsigned(end.Run)
	w.outcome(end.Outcome)
	w.text(end.Checkpoint)
}

func (r *reader) end(end *End, last *previousTexts) {
	end.Runner = r.repeated(&last.runner)
	end.N = r.unsigned()
	end.Task = r.task(last)
	end.Run = r.unsigned()
	end.Outcome = r.outcome()
	end.Checkpoint = r.text()
}

func (w *writer) loss(loss *Loss, last *previousTexts) {
	w.repeated(loss.Runner, &last.runner)
	w.task(&loss.Task, last)
	w.unsigned(loss.Run)
	w.text(loss.Checkpoint)
}

func (r *reader) loss(loss *Loss, last *previousTexts) {
	loss.Runner = r.repeated(&last.runner)
	loss.Task = r.task(last)
	loss.Run = r.unsigned()
	loss.Checkpoint = r.text()
}

func (w *writer) start(start *Start, last *previousTexts) {
	w.task(&start.Task, last)
	w.unsigned(start.Run)
	w.repeated(start.Runner, &last.runner)
}

func (r *reader) start(start *Start, last *previousTexts) {
	start.Task = r.task(last)
	start.Run = r.unsigned()
	start.Runner = r.repeated(&last.runner)
}
