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

// fakeReplicas is a peerEngine that runs functions at once and records its peers.
type fakeReplicas struct {
	mutex           sync.Mutex // guards addresses
	knowsAllLeaders bool
	addresses       []string
}

func (f *fakeReplicas) Do(work func()) { work() }

func (f *fakeReplicas) KnowsLeaders() bool { return f.knowsAllLeaders }

func (f *fakeReplicas) SetPeers(addresses []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.addresses = addresses
}

func (f *fakeReplicas) peers() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.addresses
}

var _ = Describe("The peers of a control process", func() {
	It("are fresh while the process knows an owner of every shard", func() {
		engine := &fakeReplicas{knowsAllLeaders: true}
		Expect(peers{engine: engine}.Fresh(time.Second)).To(BeTrue())
		engine.knowsAllLeaders = false
		Expect(peers{engine: engine}.Fresh(time.Second)).To(BeFalse())
	})

	It("are replaced by those of the changed settings file after SIGHUP", func() {
		path := filepath.Join(GinkgoT().TempDir(), "boot.json")
		Expect(os.WriteFile(path, []byte(`{"nodeName":"n","role":"r","ip":"10.0.0.9","zone":"z",`+
			`"internalPorts":[7380,7395],"seeds":["10.0.0.2:8144"]}`), 0o600)).To(Succeed())
		engine := &fakeReplicas{knowsAllLeaders: true}
		hangups := make(chan os.Signal, 1)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		follower := seeds.NewFollower(seeds.Options{Path: path, Seeds: []string{"10.0.0.1:7380"}, Directory: peers{engine: engine},
			Logger: log.NewNopLogger()})
		go follower.Run(ctx, hangups)
		hangups <- syscall.SIGHUP
		Eventually(engine.peers).Should(Equal([]string{"10.0.0.2:7380"}))
	})
})

var _ = Describe("A running control process", func() {
	It("keeps running after SIGHUP although its seeds have not changed", func() {
		folder := GinkgoT().TempDir()
		path := filepath.Join(folder, "boot.json")
		ip, internal, operator, err := loopbacktest.FreePorts()
		Expect(err).NotTo(HaveOccurred())
		text := fmt.Sprintf(`{"nodeName":"n","role":"r","ip":%q,"zone":"z","internalPorts":[%d,%d],`+
			`"listen":{"control":"%s:%d"},"seeds":["127.0.0.1:1"],"dataDir":%q}`,
			ip, internal, internal, ip, operator, filepath.Join(folder, "data"))
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		GinkgoT().Setenv(boot.PathVariable, path)
		settings, err := boot.Load(path)
		Expect(err).NotTo(HaveOccurred())

		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- Run(ctx, settings, log.NewNopLogger()) }()
		accepts := func() error {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(operator)))
			if err != nil {
				return err
			}
			return conn.Close()
		}
		Eventually(accepts).WithTimeout(10 * time.Second).Should(Succeed())
		for range 3 {
			Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
			Expect(accepts()).To(Succeed())
		}
		Expect(ended).NotTo(Receive())
		stop()
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(Succeed()))
	})
})
