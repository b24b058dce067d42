package config

import (
	"fmt"
	"time"

	"ospreypond/policy"
)

// Settings is the part of the deployment's settings object that the dispatcher uses. The simulator sends the object in
// its first message, and a dispatcher reads it from its configuration file under the key "settings". The fields have
// the names of the keys, which operators and the simulator know; policy.Settings has the usual terms of the field.
//
// A key with the suffix Us is a time in microseconds. A missing key is the same as 0, "" or false: unless a comment says
// otherwise, there is then no such limit or rule. check and policy.New reject most of the negative numbers.
type Settings struct {
	Zone      string   `json:"zone"`      // zone in which this dispatcher runs
	SlotNo    int      `json:"slotNo"`    // this dispatcher's number, from 0 to balancers - 1; no other one has it
	Balancers int      `json:"balancers"` // number of dispatchers that share the runners; 0: not known, at least slotNo + 1
	Kinds     []string `json:"kinds"`     // machine kinds, to which familyInfo.classKind refers by index
	PeriodUs  float64  `json:"periodUs"`  // least time between two steps of the decision module; 0: defaultPeriod
	Discovery string   `json:"discovery"` // how the list of runners arrives: "push", which is the default, or "ask"
	Classes   []struct {
		Name         string  `json:"name"`         // required and unique
		Semantics    string  `json:"semantics"`    // required: "safe", "keyed" or "unsafe", see policy.Semantics
		KeyScope     string  `json:"keyScope"`     // required if keyed: runners that drop duplicates, "all", "zone" or "cell"
		MemorySpanUs float64 `json:"memorySpanUs"` // if keyed: how long after an attempt they drop duplicates
		ObjectiveUs  float64 `json:"objectiveUs"`  // latency target of a request without work
		AimStretch   float64 `json:"aimStretch"`   // how much the target grows with the request's work, as a factor
		DeadlineUs   float64 `json:"deadlineUs"`   // how long clients wait in total; over 0
		LateWorth    float64 `json:"lateWorth"`    // value of a late response, as a fraction of the full one, 0 to 1
		Streamed     bool    `json:"streamed"`     // whether responses are streamed while the job runs
	} `json:"classes"`
	FamilyInfo struct {
		ClassKind    []int     `json:"classKind"`    // by class: the only kind that can run it; missing or negative: any
		ClassStretch []float64 `json:"classStretch"` // by class: replaces aimStretch; missing: aimStretch applies
		ReportX0     string    `json:"reportX0"`     // meaning of the figure x0 in load reports; see ReportField
		ReportX1     string    `json:"reportX1"`     // meaning of the figure x1 in load reports
		TellsStart   bool      `json:"tellsStart"`   // whether runners report the start of a job
	} `json:"familyInfo"`
	Limits struct {
		Cancelling       bool    `json:"cancelling"`       // whether the dispatcher may cancel attempts
		ConnIdleUs       float64 `json:"connIdleUs"`       // when an idle connection to a runner closes; 0: defaultIdleTimeout
		ConnectTimeoutUs float64 `json:"connectTimeoutUs"` // longest time to set up a connection; 0: defaultConnectTimeout
		MaxAttempts      int     `json:"maxAttempts"`      // for one request; 0: no limit
		MaxOpen          int     `json:"maxOpen"`          // open requests; 0: no limit
		MaxRetryAfterUs  float64 `json:"maxRetryAfterUs"`  // longest Retry-After that clients respect; needs retryAfter
		Probes           bool    `json:"probes"`           // whether the dispatcher may probe runners
		RetryAfter       bool    `json:"retryAfter"`       // whether refusals may have a Retry-After
	} `json:"limits"`
	Report struct {
		Via string `json:"via"` // how load reports arrive: "none", which is the default, "probe" or "answers"
	} `json:"report"`
	Rules struct {
		AnswerSlackUs float64 `json:"answerSlackUs"` // how long after a client's deadline a final response still counts
		AskWithinUs   float64 `json:"askWithinUs"`   // with discovery "ask": greatest age of a list without confirmation
		ColdFrom      float64 `json:"coldFrom"`      // least capacity of a runner at its start, as a fraction of the full one
		ColdUs        float64 `json:"coldUs"`        // longest time from a runner's start to its full capacity; 0: no warm-up
		FallMultiple  float64 `json:"fallMultiple"`  // a warming runner fails if it is sent over this multiple of its capacity
		TipAfterUs    float64 `json:"tipAfterUs"`    // time over which fallMultiple is counted
		DrainCloseUs  float64 `json:"drainCloseUs"`  // idle connections to a draining runner close within this time
		DrainGraceUs  float64 `json:"drainGraceUs"`  // how long after its notice a draining runner may still be sent requests
	} `json:"rules"`
	Tariffs struct { // costs in points, as policy.Settings has them
		CrossZone float64 `json:"crossZone"` // of one crossing of zones
		Handshake float64 `json:"handshake"` // of one connection handshake
		Probe     float64 `json:"probe"`     // of one probe
	} `json:"tariffs"`
	Tenants []struct {
		Name          string  `json:"name"`
		AllowancePerS float64 `json:"allowancePerS"` // requests per second, summed over all dispatchers
	} `json:"tenants"`
}

// Policy translates the deployment's settings into the settings of the decision module. Its error is a *KeyError.
func (s *Settings) Policy() (policy.Settings, error) {
	us := func(v float64) time.Duration { return time.Duration(v * float64(time.Microsecond)) }
	p := policy.Settings{
		Zone: s.Zone, Number: s.SlotNo, Schedulers: s.Balancers, MinStepInterval: us(s.PeriodUs),
		ListOnDemand: s.Discovery == "ask", ReportsStarts: s.FamilyInfo.TellsStart,
		LoadReports: s.Report.Via == "probe" || s.Report.Via == "answers",
		MayCancel:   s.Limits.Cancelling, MayProbe: s.Limits.Probes,
		MaxAttempts: s.Limits.MaxAttempts, MaxOpenRequests: s.Limits.MaxOpen,
		ConnIdleTimeout: us(s.Limits.ConnIdleUs),
		ConnectTimeout:  us(s.Limits.ConnectTimeoutUs), ResponseGrace: us(s.Rules.AnswerSlackUs),
		MaxListAge: us(s.Rules.AskWithinUs), MinStartCapacity: s.Rules.ColdFrom, MaxWarmUpTime: us(s.Rules.ColdUs),
		OverloadFactor: s.Rules.FallMultiple, OverloadWindow: us(s.Rules.TipAfterUs), DrainCloseTimeout: us(s.Rules.DrainCloseUs),
		CrossZonePrice: s.Tariffs.CrossZone, HandshakePrice: s.Tariffs.Handshake, ProbePrice: s.Tariffs.Probe,
	}
	if s.Limits.RetryAfter {
		p.MaxRetryAfter = us(s.Limits.MaxRetryAfterUs)
	}
	for i, c := range s.Classes {
		k := policy.Class{Name: c.Name, DedupWindow: us(c.MemorySpanUs), LatencyTarget: us(c.ObjectiveUs), Stretch: c.AimStretch,
			LateValue: c.LateWorth, Deadline: us(c.DeadlineUs), Streamed: c.Streamed}
		switch c.Semantics {
		case "safe":
		case "keyed":
			k.Semantics = policy.Keyed
		case "unsafe":
			k.Semantics = policy.Unsafe
		default:
			return p, settingError(fmt.Sprintf("classes[%d].semantics", i), "use safe, keyed or unsafe", "unknown value %q", c.Semantics)
		}
		switch c.KeyScope {
		case "all":
			k.DedupScope = policy.ScopeAll
		case "zone":
			k.DedupScope = policy.ScopeZone
		}
		if i < len(s.FamilyInfo.ClassStretch) {
			k.Stretch = s.FamilyInfo.ClassStretch[i]
		}
		if i < len(s.FamilyInfo.ClassKind) {
			if n := s.FamilyInfo.ClassKind[i]; n >= 0 && n < len(s.Kinds) {
				k.Kind = s.Kinds[n]
			}
		}
		p.Classes = append(p.Classes, k)
	}
	for _, t := range s.Tenants {
		p.Tenants = append(p.Tenants, policy.Tenant{Name: t.Name, Allowance: t.AllowancePerS})
	}
	return p, nil
}

// ReportField returns the field of r that holds the load report's figure of a name, or nil if the figure is not used.
// It accepts the names of the simulator's protocol and those in the reports of real runners. The figures x0 and x1 are
// used only if familyInfo.reportX0 or reportX1 says "free slots" or "free memory".
func (s *Settings) ReportField(r *policy.Report, name string) *float64 {
	switch name {
	case "depth", "queue":
		return &r.Queued
	case "concurrent", "inflight":
		return &r.InFlight
	case "load_share", "util":
		return &r.Load
	case "x0", "x1":
		meaning := s.FamilyInfo.ReportX0
		if name == "x1" {
			meaning = s.FamilyInfo.ReportX1
		}
		switch meaning {
		case "free slots":
			return &r.FreeSlots
		case "free memory":
			return &r.FreeMemory
		}
	}
	return nil
}
