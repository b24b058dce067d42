package simulation

import "time"

// WithdrawnSubmissions is the kind of fault in which frontends stand still for a short time, again and again, while clients
// withdraw submissions: they disconnect before the response and cancel the job at another frontend. A submission that is
// still in the socket of a frontend then reaches the job's shard after the cancel was answered.
const WithdrawnSubmissions = "withdraw"

// withdrawSubmissions freezes drawn frontends in series and raises Clients.WithdrawFraction, for the duration. The freezes
// are shorter than the time after which a frontend has to confirm its configuration, so that it handles what has waited at
// once.
func (d *Deployment) withdrawSubmissions(duration time.Duration) {
	const (
		fraction             = 0.35
		minFreeze, maxFreeze = 200 * time.Millisecond, 1600 * time.Millisecond
	)
	d.recordPlanned(WithdrawnSubmissions, duration)
	d.Clients.WithdrawFraction = fraction
	d.World.After(duration, func() { d.Clients.WithdrawFraction = 0 })
	until := d.World.now + duration
	var freezeNext func()
	freezeNext = func() {
		if d.World.now >= until {
			return
		}
		freeze := d.World.Between(minFreeze, maxFreeze)
		if m := Pick(d.World, d.Frontends); m.up && !m.frozen {
			d.freeze(m, freeze)
		}
		d.World.After(freeze+d.World.Between(0, maxFreeze), freezeNext)
	}
	freezeNext()
}
