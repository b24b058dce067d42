package policy_test

import (
	"fmt"
	"time"

	"ospreypond/policy"
)

// A scheduler feeds in the events that it observes and carries out the actions that Step returns.
func Example() {
	d, err := policy.New(policy.Settings{
		Schedulers:      1,
		MinStepInterval: 5 * time.Millisecond,
		ReportsStarts:   true,
		MayCancel:       true,
		Classes: []policy.Class{{Name: "render", LatencyTarget: 200 * time.Millisecond, Stretch: 2,
			Deadline: 5 * time.Second}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	actions := d.Step(now, []policy.Event{
		{Kind: policy.ListRestored, Members: []policy.Member{{Worker: "10.0.0.1:7000", Kind: "std"}}},
		{Kind: policy.Request, ID: 1, Class: "render", TimeLeft: 5 * time.Second, Slots: 1,
			Work: 80 * time.Millisecond},
	}, nil)
	for _, a := range actions {
		if a.Kind == policy.ArmTimer { // the request is pending until the next round
			now = a.At
		}
	}
	for _, a := range d.Step(now, []policy.Event{{Kind: policy.TimerFired}}, nil) {
		if a.Kind == policy.Send {
			fmt.Println("request", a.ID, "goes to", a.Worker)
		}
	}
	// Output: request 1 goes to 10.0.0.1:7000
}
