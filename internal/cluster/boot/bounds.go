package boot

import "time"

// durationKey describes a key of the settings' object `bounds`. The key's value is a duration, which a field of Bounds
// stores.
type durationKey struct {
	name         string                       // the key; its suffix names the unit
	unit         time.Duration                // time.Millisecond or time.Second
	field        func(*Bounds) *time.Duration // returns the field
	defaultValue time.Duration                // used if the key is absent
}

// durationKeys describes all keys of `bounds` but farKey.
var durationKeys = []durationKey{
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
	{"gang_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.GangWait }, 3 * time.Second},
	{"cancel_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Cancel }, 3 * time.Second},
	{"visible_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Visible }, 3 * time.Second},
	{"early_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Early }, 250 * time.Millisecond},
	{"finish_s", time.Second, func(b *Bounds) *time.Duration { return &b.Finish }, 14 * time.Second},
	{"status_s", time.Second, func(b *Bounds) *time.Duration { return &b.StatusRetention }, 120 * time.Second},
	{"save_s", time.Second, func(b *Bounds) *time.Duration { return &b.CheckpointInterval }, 2 * time.Second},
	{"restore_ms", time.Millisecond, func(b *Bounds) *time.Duration { return &b.Restore }, 600 * time.Millisecond},
}

const (
	farKey      = "far_x"             // key of Bounds.FarFactor, a factor
	defaultFar  = 1.5                 // value of Bounds.FarFactor if the key is absent
	maxFar      = 1000                // a higher factor is taken for a mistake
	maxDuration = 30 * 24 * time.Hour // a longer duration is taken for a mistake
)

// DefaultBounds returns the bounds of a settings file without the object `bounds`.
func DefaultBounds() Bounds {
	bounds := Bounds{FarFactor: defaultFar}
	for _, key := range durationKeys {
		*key.field(&bounds) = key.defaultValue
	}
	return bounds
}

// readBounds reads the object `bounds`.
func readBounds(object *object) Bounds {
	bounds := DefaultBounds()
	for _, key := range durationKeys {
		unit := float64(key.unit)
		amount := object.number(key.name, float64(key.defaultValue)/unit, 0, float64(maxDuration)/unit)
		*key.field(&bounds) = time.Duration(amount * unit)
	}
	bounds.FarFactor = object.number(farKey, defaultFar, 1, maxFar)
	return bounds
}
