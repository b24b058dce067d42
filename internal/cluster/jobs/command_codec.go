package jobs

import (
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// The first byte of an encoded command is the version of its encoding.
const (
	commandVersion                  = 4
	commandVersionWithoutDepartures = 3 // written by earlier releases
)

// outcomeCodes are the outcomes that are encoded as a number: their position here, from 1. Any other is encoded as 0 and
// its text. The order is part of the encoding.
var outcomeCodes = [...]protocol.RunEnd{
	protocol.EndDone,
	protocol.EndFailed,
	protocol.EndStopped,
	protocol.EndLapsed,
	protocol.EndBroken,
	protocol.EndAlone,
	protocol.EndRefused,
}

// previousTexts are the last job and runner written or read: they often repeat from item to item.
type previousTexts struct{ job, runner string }

// Encode returns the command as an entry of the shard's log. The error is always nil.
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

// sizeHint estimates the size of the encoded command, so that its buffer seldom grows.
func sizeHint(c *Command) int {
	const head, item, perSubmit, perStep = 32, 64, 128, 48
	size := head + item*(len(c.Cancels)+len(c.Fences)+len(c.Ends)+len(c.Losses)+len(c.Starts)+len(c.RunnerAddresses)+len(c.Departures))
	for i := range c.Submits {
		size += perSubmit + len(c.Submits[i].Job.Spec) + perStep*len(c.Submits[i].Job.Steps)
	}
	return size
}

// Decode decodes an entry of the shard's log, also one of an earlier release. The texts of the command share memory: what
// is retained must be cloned.
func Decode(data []byte) (*Command, error) {
	r := newReader(data)
	version := r.byte()
	if version != commandVersion && version != commandVersionWithoutDepartures {
		return nil, errors.Errorf("command of version %d, this release reads up to %d", version, commandVersion)
	}
	last := &previousTexts{}
	c := &Command{TimeOfDayMs: r.signed()}
	c.Submits = items[Submit](r)
	for i := range c.Submits {
		c.Submits[i].ID = r.text()
		c.Submits[i].Queue = r.queue()
		r.spec(&c.Submits[i].Job)
		c.Submits[i].Version = r.unsigned()
	}
	c.Cancels = r.texts()
	c.Fences = r.fences()
	c.Ends = items[End](r)
	for i := range c.Ends {
		r.end(&c.Ends[i], last)
	}
	c.Losses = items[Loss](r)
	for i := range c.Losses {
		r.loss(&c.Losses[i], last)
	}
	c.Starts = items[Start](r)
	for i := range c.Starts {
		r.start(&c.Starts[i], last)
	}
	c.RunnerAddresses = items[RunnerAddress](r)
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

// items returns a slice for the items that follow, or nil if there are none.
func items[T any](r *reader) []T {
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
	texts := items[string](r)
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
	fences := items[Fence](r)
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
