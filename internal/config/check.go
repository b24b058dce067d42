package config

import (
	"errors"
	"fmt"
	"slices"
)

// check finds settings that no dispatcher can work with, or that contradict each other. What is absent gets the default
// that the deployments' page in docs tells. Its error goes on after the opening quote of a key.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New(`classes": is empty`)
	}
	for i, c := range s.Classes {
		if c.Name == "" {
			return fmt.Errorf(`classes[%d].name": is empty`, i)
		}
		if c.DeadlineUs <= 0 {
			return fmt.Errorf(`classes[%d].deadlineUs": %v is not over 0`, i, c.DeadlineUs)
		}
		if c.Semantics == "keyed" && !slices.Contains([]string{"all", "zone", "cell"}, c.KeyScope) {
			return fmt.Errorf(`classes[%d].keyScope": %q is none of all, zone, cell, and the class is keyed`, i, c.KeyScope)
		}
		if c.LateWorth < 0 || c.LateWorth > 1 {
			return fmt.Errorf(`classes[%d].lateWorth": %v is not within 0 and 1`, i, c.LateWorth)
		}
	}
	if s.Balancers < 0 {
		return fmt.Errorf(`balancers": %d is negative`, s.Balancers)
	}
	if s.SlotNo < 0 || s.Balancers > 0 && s.SlotNo >= s.Balancers { // where it is not told, there are at least slotNo + 1
		return fmt.Errorf(`slotNo": %d is not within 0 and balancers, %d`, s.SlotNo, s.Balancers)
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
			return fmt.Errorf(`%s": %q is none of %q`, f.key, f.v, f.allowed[1:])
		}
	}
	for i, n := range s.FamilyInfo.ClassKind {
		if n >= len(s.Kinds) {
			return fmt.Errorf(`familyInfo.classKind[%d]": %d, but there are %d kinds`, i, n, len(s.Kinds))
		}
	}
	return s.checkFigures()
}

// checkFigures finds figures that are negative, or shares over 1.
func (s *Settings) checkFigures() error {
	for _, f := range []struct {
		key string
		v   float64
	}{
		{"periodUs", s.PeriodUs}, {"limits.connIdleUs", s.Limits.ConnIdleUs},
		{"limits.connectTimeoutUs", s.Limits.ConnectTimeoutUs}, {"limits.maxRetryAfterUs", s.Limits.MaxRetryAfterUs},
		{"limits.maxOpen", float64(s.Limits.MaxOpen)},
		{"rules.answerSlackUs", s.Rules.AnswerSlackUs}, {"rules.askWithinUs", s.Rules.AskWithinUs},
		{"rules.coldUs", s.Rules.ColdUs}, {"rules.coldFrom", s.Rules.ColdFrom},
		{"rules.fallMultiple", s.Rules.FallMultiple}, {"rules.tipAfterUs", s.Rules.TipAfterUs},
		{"tariffs.crossZone", s.Tariffs.CrossZone}, {"tariffs.handshake", s.Tariffs.Handshake},
		{"tariffs.probe", s.Tariffs.Probe},
	} {
		if f.v < 0 {
			return fmt.Errorf(`%s": %v is negative`, f.key, f.v)
		}
	}
	if s.Rules.ColdFrom > 1 {
		return fmt.Errorf(`rules.coldFrom": %v is over 1`, s.Rules.ColdFrom)
	}
	return nil
}
