package store

import (
	"fmt"
	"math"
	"time"

	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
)

// output is a segment that a pass writes, together with its description for the manifest.
type output struct {
	h     *handle
	file  *throttledFile
	meta  plan.Segment
	space uint16 // the space of the output's first record or deletion
	frame []byte // reused for each frame
}

// copyRecord writes a record to the output and returns the segment and offset of its value there.
func (p *pass) copyRecord(e table.Entry, value []byte) (seg uint32, at uint32, err error) {
	if err := p.openOutput(spaceOf(e.Key), len(e.Key)+len(value)+segment.FrameSize+16); err != nil {
		return 0, 0, err
	}
	o := p.output
	o.frame = segment.AppendOp(o.frame[:segment.FrameSize], segment.Op{Kind: segment.Put, Key: e.Key, Value: value})
	end, err := p.appendFrame(e.Loc.Seq, time.Time{})
	o.meta.Puts += plan.PutBytes(len(e.Key), len(value))
	return uint32(o.meta.ID), uint32(end) - uint32(len(value)), err
}

// copyTombstone writes a deletion to the output, with the sequence number and time of its frame f.
func (p *pass) copyTombstone(op segment.Op, f segment.Frame) error {
	if err := p.openOutput(spaceOf(op.Key), len(op.Key)+len(op.End)+segment.FrameSize+16); err != nil {
		return err
	}
	o := p.output
	o.frame = segment.AppendOp(o.frame[:segment.FrameSize], op)
	_, err := p.appendFrame(f.Seq, f.Time)
	o.meta.Tombstones += tombstoneBytes(len(op.Key), len(op.End))
	return err
}

// appendFrame fills in the header of the output's frame, writes the frame, and returns the offset of its end.
func (p *pass) appendFrame(seq uint64, at time.Time) (int64, error) {
	o := p.output
	segment.FinishFrame(o.frame, segment.Frame{Seq: seq, Time: at})
	if _, err := o.file.Write(o.frame); err != nil {
		return 0, err
	}
	o.meta.Size += int64(len(o.frame))
	o.meta.First, o.meta.Last = min(o.meta.First, seq), max(o.meta.Last, seq)
	return o.meta.Size, nil
}

// openOutput ensures that p.output has room for next more bytes of a space. If it has none, openOutput finishes the current
// output and creates a new one. A space with a retention shares no output with other spaces, so that passes can drop its
// expired segments without copying records.
func (p *pass) openOutput(space uint16, next int) error {
	if o := p.output; o != nil {
		_, expires := p.retentions[space]
		_, outputExpires := p.retentions[o.space]
		if !plan.SegmentFull(o.meta.Size, int64(next), p.s.limits) && (space == o.space || !expires && !outputExpires) {
			return nil
		}
		if err := p.finishOutput(); err != nil {
			return err
		}
	}
	id := p.s.nextID()
	name := segmentName(id)
	f, err := p.s.opt.FS.Create(p.s.path(name))
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	p.output = &output{h: newHandle(f, name), file: &throttledFile{throttle: p.throttle, f: f, name: name}, space: space,
		frame: make([]byte, segment.FrameSize),
		meta: plan.Segment{ID: id, Kind: plan.Output, Sealed: true, Clean: p.upTo, First: math.MaxUint64,
			Size: segment.HeaderSize}}
	_, err = p.output.file.Write(segment.AppendHeader(nil, segment.Header{Kind: segment.Output, Store: p.s.id, ID: id}))
	return err
}

// finishOutput syncs the current output, if there is one, and adds it to p.outputs.
func (p *pass) finishOutput() error {
	o := p.output
	if o == nil {
		return nil
	}
	if err := o.file.flush(); err != nil {
		return err
	}
	if err := o.h.f.Sync(); err != nil {
		return fmt.Errorf("store: syncing %s: %w", o.h.name, err)
	}
	p.outputs, p.handles, p.output = append(p.outputs, o.meta), append(p.handles, o.h), nil
	return nil
}
