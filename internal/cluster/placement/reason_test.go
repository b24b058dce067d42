package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

func TestPendingReason(t *testing.T) {
	full := protocol.Resources{CPU: 16000, MemoryMB: 32768, GPU: 8}
	runner := func(free protocol.Resources) Runner {
		return Runner{ID: "i", Kind: "a", Rack: "r", Labels: []string{"a", "r"}, Capacity: full, Free: free, GroupCount: map[any]int{}}
	}
	task := Task{Key: 1, Queue: "q", SizeMs: 500, TimeLeft: time.Minute, Group: "g", Needs: protocol.Resources{CPU: 4000, MemoryMB: 4096, GPU: 2}}
	labelled := task
	labelled.Requirements = "none"
	antiAffine := task
	antiAffine.AntiAffinity = 1
	sameStep := runner(full)
	sameStep.GroupCount = map[any]int{"g": 1}
	unreliable := runner(full)
	unreliable.FailureScore = 1
	unreliable.Running = []Run{{Key: "other", Group: "h", Predicted: time.Second}}
	reliable := runner(protocol.Resources{CPU: 1000, MemoryMB: 9000, GPU: 8})
	for name, c := range map[string]struct {
		task    Task
		runners []Runner
		reason  Reason
	}{
		"too few processors":                    {task, []Runner{runner(protocol.Resources{CPU: 3000, MemoryMB: 9000, GPU: 8})}, NoCPU},
		"too little memory":                     {task, []Runner{runner(protocol.Resources{CPU: 9000, MemoryMB: 4000, GPU: 8})}, NoMemory},
		"too few accelerators":                  {task, []Runner{runner(protocol.Resources{CPU: 9000, MemoryMB: 9000, GPU: 1})}, NoGPU},
		"no runner with its label":              {labelled, []Runner{runner(full)}, NoRunner},
		"anti-affinity to all runners":          {antiAffine, []Runner{sameStep}, NoRunner},
		"free capacity on an unreliable runner": {task, []Runner{unreliable, reliable}, UnreliableRunner},
		"largest reason of two runners":         {task, []Runner{runner(protocol.Resources{}), runner(protocol.Resources{CPU: 9000, GPU: 8})}, NoMemory},
		"capacity that the round has not used":  {task, []Runner{runner(full)}, LaterRound},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := NewPlanner(Options{})
			p.now, p.tasks, p.runners = 0, []Task{c.task}, c.runners
			p.takeSnapshot()
			p.predictRuntimes()
			g.Expect(p.PendingReason(0)).To(gomega.Equal(c.reason))
		})
	}
}
