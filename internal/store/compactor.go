package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
)

// compactor runs compaction passes, one at a time, either in its own goroutine or in the goroutine that calls Compact or
// Close. pass.go describes a pass; plan.Victims chooses the segments that it rewrites.
type compactor struct {
	idle    chan struct{}   // has a token while no pass runs; the goroutine that takes it may run one
	wake    chan struct{}   // has a token if a pass was requested
	damaged map[uint64]bool // numbers of damaged segments that a pass found: no pass rewrites them; guarded by idle
}

const (
	// minRetryBackoff and maxRetryBackoff limit the delay before a failed pass is run again. It doubles with each failure.
	minRetryBackoff = time.Second
	maxRetryBackoff = time.Minute
	// retentionCheckInterval is how often the compactor compares the age of the open segment with the spaces' retention.
	retentionCheckInterval = 10 * time.Second
)

// passOptions are the options of a pass.
type passOptions struct {
	freeze    bool // first seal the open segment and freeze the uppermost layer, so that the pass covers every commit so far
	indexOnly bool // rewrite no segments
}

// requestPass requests a pass from the compactor's goroutine, unless one has been requested already. It does not wait.
func (c *compactor) requestPass() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run is the compactor's goroutine. It ends when the store is closed.
func (c *compactor) run(s *Store) {
	defer s.goroutines.Done()
	backoff := minRetryBackoff
	check := time.NewTicker(retentionCheckInterval)
	defer check.Stop()
	var retry <-chan time.Time
	for {
		freeze := false
		select {
		case <-s.ctx.Done():
			return
		case <-c.wake:
		case <-retry:
		case <-check.C:
			if freeze = s.openSegmentAging(); !freeze {
				continue
			}
		}
		retry = nil
		_, err := c.runPass(s.ctx, s, passOptions{freeze: freeze})
		if err == nil || s.ctx.Err() != nil || s.fault.Load() != nil {
			backoff = minRetryBackoff
			continue
		}
		s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "again_in": backoff}).
			Warn("index not written down, compaction put off")
		retry = time.After(backoff)
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// openSegmentAging reports whether the first commit in the open segment is older than an eighth of the shortest age limit of
// any space. Records expire a segment at a time, so the segment must then be sealed though it is not full.
func (s *Store) openSegmentAging() bool {
	var minAge time.Duration
	for _, r := range s.retentions() {
		if age := time.Duration(r.AgeMs) * time.Millisecond; age > 0 && (minAge == 0 || age < minAge) {
			minAge = age
		}
	}
	if minAge == 0 {
		return false
	}
	var aging bool
	err := s.writer.runInWriter(func() error {
		aging = s.writer.size.Load() > segment.HeaderSize && s.opt.Now().Sub(s.writer.firstCommitAt) > minAge/8
		return nil
	})
	return err == nil && aging
}

// runPass runs a pass if a layer is frozen. If another pass is running, it first waits for its end. more reports whether
// another pass would find more to rewrite.
func (c *compactor) runPass(ctx context.Context, s *Store, opt passOptions) (more bool, err error) {
	select {
	case <-c.idle:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	defer func() { c.idle <- struct{}{} }()
	if opt.freeze {
		if more, err = s.sealAndFreeze(); err != nil {
			return false, err
		}
	}
	s.mu.RLock()
	v := s.version.ref()
	s.mu.RUnlock()
	defer v.unref()
	if v.frozen == nil {
		return false, nil
	}
	if err := s.Err(); err != nil {
		return false, err
	}
	p := &pass{s: s, ctx: ctx, version: v, upTo: v.frozen.upTo, indexOnly: opt.indexOnly, live: map[uint64]int64{},
		bytesByTime: map[uint16][]int64{}}
	if err := p.run(c.damaged); err != nil {
		p.discard()
		var fe *FileError
		if errors.As(err, &fe) && errors.Is(err, ErrCorrupt) && p.readingVictim != 0 {
			// Otherwise a single damaged record would make every later pass fail, and compaction would stop.
			c.damaged[p.readingVictim] = true
		}
		return false, err
	}
	s.passes.Add(1)
	s.manMu.Lock()
	defer s.manMu.Unlock()
	next := p.pickVictims(s.man.Segments, c.damaged)
	return more || len(next) > 0 && !slices.Equal(next, p.victims) || p.floorsRaised, nil
}

// sealAndFreeze seals the open segment and freezes the uppermost layer. If a layer is frozen already, which a failed pass
// left, the uppermost layer is not frozen, and another is true: its commits need another pass.
func (s *Store) sealAndFreeze() (another bool, err error) {
	err = s.writer.runInWriter(func() error {
		if err := s.Err(); err != nil {
			return err
		}
		if err := s.writer.roll(s); err != nil {
			return err
		}
		s.mu.RLock()
		another = s.version.frozen != nil
		s.mu.RUnlock()
		s.writer.freeze(s)
		return nil
	})
	return another, err
}

// pickVictims chooses the segments that the pass rewrites. It never chooses a damaged one.
func (p *pass) pickVictims(segments []plan.Segment, damaged map[uint64]bool) []uint64 {
	var candidates []plan.Segment
	for _, g := range segments {
		if !damaged[g.ID] {
			candidates = append(candidates, g)
		}
	}
	return plan.Victims(candidates, p.upTo, p.s.limits)
}
