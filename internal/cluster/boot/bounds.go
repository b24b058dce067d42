package boot

import "time"

// boundKey ties a key of `bounds` to its field. Its unit is milliseconds or seconds, as the key's end says.
type boundKey struct {
	key      string
	unit     time.Duration
	field    func(*Bounds) *time.Duration
	standard time.Duration // where the key is missing
}

var boundKeys = []boundKey{
	{"seedLagS", time.Second, func(b *Bounds) *time.Duration { return &b.SeedLag }, 3 * time.Second},
	{"addressReuseS", time.Second, func(b *Bounds) *time.Duration { return &b.AddressReuse }, 2 * time.Second},
	{"contactMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Contact }, 3 * time.Second},
	{"ackTimeoutMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.AckTimeout }, 4 * time.Second},
	{"catchUpS", time.Second, func(b *Bounds) *time.Duration { return &b.CatchUp }, 4 * time.Second},
	{"drainMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Drain }, 2 * time.Second},
	{"graceS", time.Second, func(b *Bounds) *time.Duration { return &b.Grace }, 6 * time.Second},
	{"lossSlackMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.LossSlack }, 200 * time.Millisecond},
	{"configApplyMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.ConfigApply }, 2 * time.Second},
	{"rollbackSlackMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.RollbackSlack }, 250 * time.Millisecond},
	{"maxSkewMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.MaxSkew }, 5 * time.Second},
	{"recoveryS", time.Second, func(b *Bounds) *time.Duration { return &b.Recovery }, 12 * time.Second},
	{"holdMaxMs", time.Millisecond, func(b *Bounds) *time.Duration { return &b.MaxLease }, 6 * time.Second},
	{"stop_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Stop }, 900 * time.Millisecond},
	{"gang_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Gang }, 3 * time.Second},
	{"cancel_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Cancel }, 3 * time.Second},
	{"visible_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Visible }, 3 * time.Second},
	{"early_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Early }, 250 * time.Millisecond},
	{"finish_s", time.Second, func(b *Bounds) *time.Duration { return &b.Finish }, 14 * time.Second},
	{"status_s", time.Second, func(b *Bounds) *time.Duration { return &b.Status }, 120 * time.Second},
	{"save_s", time.Second, func(b *Bounds) *time.Duration { return &b.Save }, 2 * time.Second},
	{"restore_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Restore }, 600 * time.Millisecond},
}

const (
	farKey      = "far_x"
	standardFar = 1.5
	longest     = 30 * 24 * time.Hour // a bound above this is taken for a slip
)

// DefaultBounds returns the bounds that hold where the file leaves them out.
func DefaultBounds() Bounds {
	bounds := Bounds{Far: standardFar}
	for _, known := range boundKeys {
		*known.field(&bounds) = known.standard
	}
	return bounds
}

func readBounds(object *object) Bounds {
	bounds := DefaultBounds()
	for _, known := range boundKeys {
		standard := float64(known.standard) / float64(known.unit)
		most := float64(longest) / float64(known.unit)
		amount := object.number(known.key, standard, 0, most)
		*known.field(&bounds) = time.Duration(amount * float64(known.unit))
	}
	bounds.Far = object.number(farKey, standardFar, 1, 1000)
	return bounds
}
