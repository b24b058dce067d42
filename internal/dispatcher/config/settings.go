package config

import (
	"fmt"
	"time"

	"ospreypond/policy"
)

// Settings is the deployment's settings object, as far as it is used: the simulator sends it in its first message,
// and a dispatcher finds it in its configuration under "settings". The fields are named like the keys, which
// operators and the simulator know; policy.Settings has the field's terms.
type Settings struct {
	Zone      string   `json:"zone"`
	SlotNo    int      `json:"slotNo"`
	Balancers int      `json:"balancers"`
	Kinds     []string `json:"kinds"`
	PeriodUs  float64  `json:"periodUs"`
	Discovery string   `json:"discovery"`
	Classes   []struct {
		Name         string  `json:"name"`
		Semantics    string  `json:"semantics"`
		KeyScope     string  `json:"keyScope"`
		MemorySpanUs float64 `json:"memorySpanUs"`
		ObjectiveUs  float64 `json:"objectiveUs"`
		AimStretch   float64 `json:"aimStretch"`
		DeadlineUs   float64 `json:"deadlineUs"`
		LateWorth    float64 `json:"lateWorth"`
		Streamed     bool    `json:"streamed"`
	} `json:"classes"`
	FamilyInfo struct {
		ClassKind    []int     `json:"classKind"`
		ClassStretch []float64 `json:"classStretch"`
		ReportX0     string    `json:"reportX0"`
		ReportX1     string    `json:"reportX1"`
		TellsStart   bool      `json:"tellsStart"`
	} `json:"familyInfo"`
	Limits struct {
		Cancelling       bool    `json:"cancelling"`
		ConnIdleUs       float64 `json:"connIdleUs"`
		ConnectTimeoutUs float64 `json:"connectTimeoutUs"`
		MaxAttempts      int     `json:"maxAttempts"`
		MaxOpen          int     `json:"maxOpen"`
		MaxRetryAfterUs  float64 `json:"maxRetryAfterUs"`
		Probes           bool    `json:"probes"`
		RetryAfter       bool    `json:"retryAfter"`
	} `json:"limits"`
	Report struct {
		Via string `json:"via"`
	} `json:"report"`
	Rules struct {
		AnswerSlackUs float64 `json:"answerSlackUs"`
		AskWithinUs   float64 `json:"askWithinUs"`
		ColdFrom      float64 `json:"coldFrom"`
		ColdUs        float64 `json:"coldUs"`
		FallMultiple  float64 `json:"fallMultiple"`
		TipAfterUs    float64 `json:"tipAfterUs"`
		DrainCloseUs  float64 `json:"drainCloseUs"`
		DrainGraceUs  float64 `json:"drainGraceUs"`
	} `json:"rules"`
	Tariffs struct {
		CrossZone float64 `json:"crossZone"`
		Handshake float64 `json:"handshake"`
		Probe     float64 `json:"probe"`
	} `json:"tariffs"`
	Tenants []struct {
		Name          string  `json:"name"`
		AllowancePerS float64 `json:"allowancePerS"`
	} `json:"tenants"`
}

// Policy translates the deployment's settings into the decision module's. Its error is a *KeyError.
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
			return p, settingError(fmt.Sprintf("classes[%d].semantics", i), "safe, keyed or unsafe", "unknown value %q", c.Semantics)
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

// ReportField returns the field of r for a load report's figure, or nil for one that is not used. It knows the names
// of the simulator's protocol and those in real runners' reports.
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
