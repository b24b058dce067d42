package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/seeds"
	"ospreypond/internal/loopbacktest"
)

// fakeReplicas runs what it is given at once and keeps the peers it is told.
type fakeReplicas struct {
	mutex sync.Mutex
	led   bool
	told  []string
}

func (f *fakeReplicas) Do(work func()) { work() }

func (f *fakeReplicas) KnowsLeaders() bool { return f.led }

func (f *fakeReplicas) SetPeers(addresses []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.told = addresses
}

func (f *fakeReplicas) peers() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.told
}

var _ = Describe("peers", func() {
	It("are fresh while all shards have an owner", func() {
		engine := &fakeReplicas{led: true}
		Expect(peers{engine}.Fresh(time.Second)).To(BeTrue())
		engine.led = false
		Expect(peers{engine}.Fresh(time.Second)).To(BeFalse())
	})

	It("become those of the changed settings at SIGHUP", func() {
		path := filepath.Join(GinkgoT().TempDir(), "boot.json")
		Expect(os.WriteFile(path, []byte(`{"nodeName":"n","role":"r","ip":"10.0.0.9","zone":"z",`+
			`"internalPorts":[7380,7395],"seeds":["10.0.0.2:8144"]}`), 0o600)).To(Succeed())
		engine := &fakeReplicas{led: true}
		hangups := make(chan os.Signal, 1)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		follower := seeds.NewFollower(seeds.Options{Path: path, Seeds: []string{"10.0.0.1:7380"}, Directory: peers{engine},
			Logger: log.NewNopLogger()})
		go follower.Run(ctx, hangups)
		hangups <- syscall.SIGHUP
		Eventually(engine.peers).Should(Equal([]string{"10.0.0.2:7380"}))
	})
})

var _ = Describe("a control process", func() {
	It("goes on after SIGHUP, with or without other seeds", func() {
		folder := GinkgoT().TempDir()
		path := filepath.Join(folder, "boot.json")
		ip, internal, operator, err := loopbacktest.FreePorts()
		Expect(err).NotTo(HaveOccurred())
		text := fmt.Sprintf(`{"nodeName":"n","role":"r","ip":%q,"zone":"z","internalPorts":[%d,%d],`+
			`"listen":{"control":"%s:%d"},"seeds":["127.0.0.1:1"],"dataDir":%q}`,
			ip, internal, internal, ip, operator, filepath.Join(folder, "data"))
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		GinkgoT().Setenv(boot.Variable, path)
		settings, err := boot.Load(path)
		Expect(err).NotTo(HaveOccurred())

		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- Run(ctx, settings, log.NewNopLogger()) }()
		answers := func() error {
			conn, err := net.Dial("tcp", net.JoinHostPort(ip, strconv.Itoa(operator)))
			if err == nil {
				conn.Close()
			}
			return err
		}
		Eventually(answers).WithTimeout(10 * time.Second).Should(Succeed())
		for range 3 {
			Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
			Expect(answers()).To(Succeed())
		}
		Expect(ended).NotTo(Receive())
		stop()
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(Succeed()))
	})
})
