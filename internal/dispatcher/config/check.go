package config

import (
	"fmt"
	"slices"
)

// check returns a *KeyError for the first setting that is out of range or contradicts another. A missing setting is
// accepted, because it has a default or turns its rule off. Only classes and the settings that checkClasses requires
// must be present. The deployments' page in docs lists the defaults.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return settingError("classes", "configure at least one class", "is empty")
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	if s.Balancers < 0 {
		return settingError("balancers", "give the number of dispatchers, or leave it out if it is not known", "%d is negative", s.Balancers)
	}
	if s.SlotNo < 0 || s.Balancers > 0 && s.SlotNo >= s.Balancers { // if balancers is 0, any slotNo from 0 is valid
		return settingError("slotNo", "number the dispatchers from 0", "%d is not in the range from 0 to balancers - 1, and balancers is %d", s.SlotNo, s.Balancers)
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
			return settingError(f.key, "use one of them, or leave it out", "%q is not one of %q", f.v, f.allowed[1:])
		}
	}
	for i, n := range s.FamilyInfo.ClassKind {
		if n >= len(s.Kinds) {
			return settingError(fmt.Sprintf("familyInfo.classKind[%d]", i), "give an index from 0, or -1 for any kind", "%d is not an index of settings.kinds, which has %d entries", n, len(s.Kinds))
		}
	}
	return s.checkFigures()
}

// checkClasses returns a *KeyError for the first class without a name or deadline, or with another invalid setting.
func (s *Settings) checkClasses() error {
	for i, c := range s.Classes {
		if c.Name == "" {
			return settingError(fmt.Sprintf("classes[%d].name", i), "give each class a name", "is empty")
		}
		if c.DeadlineUs <= 0 {
			return settingError(fmt.Sprintf("classes[%d].deadlineUs", i), "give the time that clients wait in total, in microseconds", "%v is not over 0", c.DeadlineUs)
		}
		if c.Semantics == "keyed" && !slices.Contains([]string{"all", "zone", "cell"}, c.KeyScope) {
			return settingError(fmt.Sprintf("classes[%d].keyScope", i), "name the runners that drop duplicates", "%q is not one of all, zone and cell, and the class is keyed", c.KeyScope)
		}
		if c.LateWorth < 0 || c.LateWorth > 1 {
			return settingError(fmt.Sprintf("classes[%d].lateWorth", i), "give the fraction of a response's full value", "%v is not in the range from 0 to 1", c.LateWorth)
		}
	}
	return nil
}

// checkFigures returns a *KeyError for the first negative number among the settings that it lists, or for a
// rules.coldFrom over 1.
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
		return settingError("rules.coldFrom", "give a fraction of a runner's full capacity", "%v is over 1", s.Rules.ColdFrom)
	}
	return nil
}
