package simulation

import "time"

// maxRepeatedRefusals is how many calls with a refused fencing token a machine may still make to a runner once the longest
// lease has passed since the first refusal.
const maxRepeatedRefusals = 3

// checkRefusedCalls (DUTY): a runner refuses a call because it has seen a higher fencing token from another machine. The
// refused machine may repeat calls with the same token for Bounds.MaxLease after the first refusal. After that time it
// may repeat maxRepeatedRefusals calls; the next call breaks the rule.
func (a *auditor) checkRefusedCalls() {
	type caller struct {
		machine, instance string
		fenceToken        uint64
	}
	firstRefused := map[caller]time.Duration{}
	repeated := map[caller]int{}
	for _, call := range a.RefusedCalls {
		key := caller{call.Machine, call.Instance, call.FenceToken}
		refusedAt, known := firstRefused[key]
		if !known {
			firstRefused[key] = call.At
			continue
		}
		if call.At <= refusedAt+a.Bounds.MaxLease {
			continue
		}
		repeated[key]++
		if repeated[key] == maxRepeatedRefusals+1 {
			a.violated(RuleDuty, call.At, "%s calls %s with the fencing token %d for the %dth time later than %v after it was refused at %v; %d are allowed",
				call.Machine, call.Instance, call.FenceToken, repeated[key], a.Bounds.MaxLease, refusedAt, maxRepeatedRefusals)
		}
	}
}
