package simulation

import "time"

// maxRepeatedRefusals is how many calls with a refused fencing token a machine may make later than a lease after the refusal.
const maxRepeatedRefusals = 3

// checkRefusedCalls (DUTY): a machine that was refused, since another had used a higher fencing token, does not call again
// with the same one later than a lease after that, but for maxRepeatedRefusals times.
func (a *auditor) checkRefusedCalls() {
	type caller struct {
		machine, instance string
		fenceToken        uint64
	}
	first := map[caller]time.Duration{}
	repeated := map[caller]int{}
	for _, call := range a.RefusedCalls {
		key := caller{call.Machine, call.Instance, call.FenceToken}
		refusedAt, known := first[key]
		if !known {
			first[key] = call.At
			continue
		}
		if call.At <= refusedAt+a.Bounds.MaxLease {
			continue
		}
		repeated[key]++
		if repeated[key] == maxRepeatedRefusals+1 {
			a.violated(RuleDuty, call.At, "%s goes on calling %s with the fencing token %d, refused at %v", call.Machine, call.Instance,
				call.FenceToken, refusedAt)
		}
	}
}
