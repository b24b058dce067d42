package replica

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// wire is a Sender that passes envelopes between running engines, encoded by gob as on a real connection.
type wire struct {
	mutex   sync.Mutex
	engines map[string]*Engine
}

// Send encodes the envelope and delivers the decoded copy, so that sender and receiver share no memory.
func (w *wire) Send(address string, envelope *Envelope) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(envelope); err != nil {
		panic(err)
	}
	w.mutex.Lock()
	engine := w.engines[address]
	w.mutex.Unlock()
	if engine == nil {
		return
	}
	received := &Envelope{}
	if err := gob.NewDecoder(&buffer).Decode(received); err != nil {
		panic(err)
	}
	engine.Receive(received)
}

// put connects an engine at an address, or disconnects the address if the engine is nil.
func (w *wire) put(address string, engine *Engine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.engines[address] = engine
}

// running is a running engine on a real disk.
type running struct {
	engine *Engine
	stop   func()
}

// run opens an engine on a real disk and runs it in a goroutine.
func (w *wire) run(dir, address string, seeds []string) *running {
	engine, err := Open(Options{
		FileSystem:        vfs.OS{},
		Dir:               dir,
		Groups:            map[GroupID]StateMachine{0: &recorder{}},
		Self:              consensus.Member{Node: address, Address: address},
		Bootstrap:         seeds,
		Peers:             []string{"a:1", "b:1", "c:1"},
		Sender:            w,
		HeartbeatInterval: 30 * time.Millisecond,
		ElectionTimeout:   300 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	w.put(address, engine)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- engine.Run(ctx) }()
	return &running{engine: engine, stop: func() {
		w.put(address, nil)
		cancel()
		Expect(<-ended).To(Succeed())
	}}
}

// committed proposes a line at an engine, waits for the outcome, and reports whether the line was applied.
func committed(engine *Engine, line string) bool {
	outcome := make(chan error, 1)
	engine.Do(func() {
		engine.Propose(0, []byte(line), func(_ any, err error) { outcome <- err })
	})
	return <-outcome == nil
}

var _ = Describe("Run", func() {
	It("commits commands, ends, and starts again with all of them, with real goroutines, disks and clocks", func() {
		root := GinkgoT().TempDir()
		w := &wire{engines: map[string]*Engine{}}
		seeds := []string{"a:1", "b:1", "c:1"}
		for incarnation := range 2 {
			var all []*running
			for _, address := range seeds {
				all = append(all, w.run(root+"/"+address, address, seeds))
			}
			leader := 0
			for i := range 50 {
				line := fmt.Sprintf("line-%d-%d", incarnation, i)
				Eventually(func() bool {
					if committed(all[leader].engine, line) {
						return true
					}
					leader = (leader + 1) % len(all)
					return false
				}).WithTimeout(time.Minute).Should(BeTrue())
			}
			count := make(chan int, 1)
			engine := all[leader].engine
			engine.Do(func() { count <- len(engine.byID[0].machine.(*recorder).Lines) })
			Expect(<-count).To(BeNumerically(">=", 50*(incarnation+1)))
			for _, r := range all {
				r.stop()
			}
		}
	})

	It("holds the lock of its folder, so that another engine cannot open it", func() {
		dir := GinkgoT().TempDir()
		w := &wire{engines: map[string]*Engine{}}
		first := w.run(dir, "a:1", []string{"a:1"})
		_, err := Open(Options{FileSystem: vfs.OS{}, Dir: dir, Self: consensus.Member{Address: "a:1"}})
		Expect(err).To(MatchError(vfs.ErrLocked))
		first.stop()
	})
})
