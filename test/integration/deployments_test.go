package integration

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Settings of two deployments. payments has load reports from probes, a tenant, and a single class. Keys of this class are
// deduplicated per zone. rendering has no load reports and no tenants, but four classes with different deadlines and retry
// semantics. Keys of its keyed class are deduplicated per cell.
const (
	payments = `{"zone":"z","zones":["z","y"],"balancers":5,"slotNo":2,"periodUs":2000,"discovery":"ask","kinds":["m","n"],
 "classes":[{"name":"keyed","semantics":"keyed","keyScope":"zone","memorySpanUs":10000000,"objectiveUs":500000,"deadlineUs":6000000}],
 "clients":{"marksRetry":false},"familyInfo":{"classKind":[-1],"classStretch":[2],"tellsStart":true,"progressUs":2000000,
  "queueOrder":"fifo","reportX0":"free slots","reportX1":"free memory"},
 "limits":{"cancelling":true,"probes":true,"mayDuplicate":true,"retryAfter":true,"maxRetryAfterUs":2000000,"connIdleUs":5000000,
  "connectTimeoutUs":200000,"maxAttempts":4,"maxOpen":20000,"multiplex":1},"report":{"via":"probe","fields":["tps","load_share","x0"]},
 "rules":{"answerSlackUs":8000,"askWithinUs":10000000,"coldFrom":0.3,"coldUs":8500000,"drainGraceUs":1000000,"fallMultiple":2.5,
  "tipAfterUs":3000000},"tariffs":{"crossZone":0.03,"handshake":0.02,"probe":0.01,"lateFail":0.069,"waste":0.04},
 "tenants":[{"name":"t0","allowancePerS":100}]}`
	rendering = `{"zone":"z","zones":["z","y"],"balancers":3,"slotNo":0,"periodUs":2000,"discovery":"ask","kinds":["m","n"],
 "classes":[{"name":"safe","semantics":"safe","objectiveUs":750000,"deadlineUs":6000000},
  {"name":"long","semantics":"safe","objectiveUs":1000000,"deadlineUs":25000000},
  {"name":"keyed","semantics":"keyed","keyScope":"cell","memorySpanUs":40000000,"objectiveUs":2000000,"deadlineUs":25000000},
  {"name":"unsafe","semantics":"unsafe","objectiveUs":1000000,"deadlineUs":25000000}],
 "clients":{"marksRetry":true},"familyInfo":{"classKind":[-1,-1,-1,-1],"classStretch":[2.5,2,2,2],"tellsStart":true,
  "progressUs":2000000,"queueOrder":"fifo"},
 "limits":{"cancelling":true,"probes":true,"mayDuplicate":false,"retryAfter":false,"connIdleUs":30000000,"connectTimeoutUs":150000,
  "maxAttempts":3,"maxOpen":20000,"multiplex":1},"report":{"via":"none","fields":[]},
 "rules":{"answerSlackUs":8000,"askWithinUs":10000000,"coldFrom":0.13,"coldUs":24000000,"drainGraceUs":750000,"fallMultiple":3,
  "tipAfterUs":2000000},"tariffs":{"crossZone":0.03,"probe":0.002,"lateFail":0.03,"waste":0.05},"tenants":[]}`
)

// The same program serves both deployments; only the settings differ. Every class gets a runner's result. A job that one
// runner rejects unstarted goes to the other. A job that the only runner rejects gets status 503, with Retry-After only if
// the settings allow it. A path without a class gets status 404.
func TestServesBothDeployments(t *testing.T) {
	for _, tt := range []struct {
		name, settings string
		classes        []string
		tenant         string
		retryAfter     bool
	}{
		{"payments", payments, []string{"keyed"}, "t0", true},
		{"rendering", rendering, []string{"safe", "long", "keyed", "unsafe"}, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			accepting, rejecting := newRunner(t, "s-1", "z", serveDone), newRunner(t, "s-2", "z", serveStatus(http.StatusServiceUnavailable, true))
			p := startAs(t, tt.settings, nil, accepting, rejecting)
			setHeaders := func(r *http.Request) {
				if tt.tenant != "" {
					r.Header.Set("X-Tenant-Id", tt.tenant)
				}
				r.Header.Set("X-Attrs", "slots=2,memory=0.7")
			}
			for i, class := range tt.classes {
				for n := range 3 {
					a := p.send(context.Background(), "/"+class, fmt.Sprintf("%s-%d-%d", tt.name, i, n), 5*time.Second, setHeaders)
					assert.Equal(t, http.StatusOK, a.status, "%s: %s", class, a.body)
				}
			}
			assert.Equal(t, http.StatusNotFound, p.send(context.Background(), "/unknown", tt.name+"-x", time.Second, setHeaders).status)

			rejected := startAs(t, tt.settings, nil, newRunner(t, "s-3", "z", serveStatus(http.StatusServiceUnavailable, true)))
			a := rejected.send(context.Background(), "/"+tt.classes[0], tt.name+"-full", 2*time.Second, setHeaders)
			assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
			assert.Equal(t, tt.retryAfter, a.header.Get("Retry-After") != "", "Retry-After %q", a.header.Get("Retry-After"))
		})
	}
}
