package config

import (
	"fmt"
	"slices"
)

// check finds settings that no dispatcher can work with, or that contradict each other. What is absent gets a
// default, see the deployments' page in docs. Its error is a *KeyError.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return settingError("classes", "name at least one class", "is empty")
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	if s.Balancers < 0 {
		return settingError("balancers", "leave it out where the number of dispatchers is not known", "%d is negative", s.Balancers)
	}
	if s.SlotNo < 0 || s.Balancers > 0 && s.SlotNo >= s.Balancers { // without balancers there are at least slotNo + 1
		return settingError("slotNo", "number the dispatchers from 0", "%d is not within 0 and balancers, %d", s.SlotNo, s.Balancers)
	}
	for _, f := range []struct {
		key     string
		v       string
		allowed []string
	}{
		{"discovery", s.Discovery, []string{"", "push", "ask"}},
		{"report.via", s.Report.Via, []string{"", "none", "probe", "answers"}},
	} {
		if !slices.Contains(f.allowed, f.v) {
			return settingError(f.key, "take one of them, or leave it out", "%q is none of %q", f.v, f.allowed[1:])
		}
	}
	for i, n := range s.FamilyInfo.ClassKind {
		if n >= len(s.Kinds) {
			return settingError(fmt.Sprintf("familyInfo.classKind[%d]", i), "-1 is any kind", "%d, but there are %d kinds", n, len(s.Kinds))
		}
	}
	return s.checkFigures()
}

// checkClasses finds invalid classes.
func (s *Settings) checkClasses() error {
	for i, c := range s.Classes {
		if c.Name == "" {
			return settingError(fmt.Sprintf("classes[%d].name", i), "give each class a name", "is empty")
		}
		if c.DeadlineUs <= 0 {
			return settingError(fmt.Sprintf("classes[%d].deadlineUs", i), "give the clients' total wait in microseconds", "%v is not over 0", c.DeadlineUs)
		}
		if c.Semantics == "keyed" && !slices.Contains([]string{"all", "zone", "cell"}, c.KeyScope) {
			return settingError(fmt.Sprintf("classes[%d].keyScope", i), "say which runners drop a repeat", "%q is none of all, zone, cell, and the class is keyed", c.KeyScope)
		}
		if c.LateWorth < 0 || c.LateWorth > 1 {
			return settingError(fmt.Sprintf("classes[%d].lateWorth", i), "it is a share", "%v is not within 0 and 1", c.LateWorth)
		}
	}
	return nil
}

// checkFigures finds negative figures, and fractions over 1.
func (s *Settings) checkFigures() error {
	for _, f := range []struct {
		key string
		v   float64
	}{
		{"periodUs", s.PeriodUs}, {"limits.connIdleUs", s.Limits.ConnIdleUs},
		{"limits.connectTimeoutUs", s.Limits.ConnectTimeoutUs}, {"limits.maxRetryAfterUs", s.Limits.MaxRetryAfterUs},
		{"limits.maxOpen", float64(s.Limits.MaxOpen)},
		{"rules.answerSlackUs", s.Rules.AnswerSlackUs}, {"rules.askWithinUs", s.Rules.AskWithinUs},
		{"rules.drainGraceUs", s.Rules.DrainGraceUs}, {"rules.coldUs", s.Rules.ColdUs}, {"rules.coldFrom", s.Rules.ColdFrom},
		{"rules.fallMultiple", s.Rules.FallMultiple}, {"rules.tipAfterUs", s.Rules.TipAfterUs},
		{"tariffs.crossZone", s.Tariffs.CrossZone}, {"tariffs.handshake", s.Tariffs.Handshake},
		{"tariffs.probe", s.Tariffs.Probe},
	} {
		if f.v < 0 {
			return settingError(f.key, "give 0 or more, or leave it out", "%v is negative", f.v)
		}
	}
	if s.Rules.ColdFrom > 1 {
		return settingError("rules.coldFrom", "it is a share of a runner's capacity", "%v is over 1", s.Rules.ColdFrom)
	}
	return nil
}
