package boot

import (
	"strings"

	"ospreypond/internal/cluster/failure"
)

// Roles that a process may run.
const (
	RoleControl  = "control"
	RoleFrontend = "frontend"
	RoleAgent    = "agent"
)

// needsOf has the addresses that a role cannot do without.
var needsOf = map[string][]string{
	RoleControl:  {ListenControl},
	RoleFrontend: {ListenFrontend, ListenReadiness},
	RoleAgent:    {ListenControl},
}

// CheckRole tells whether a process of the role can run with the settings. The error is of kind Invalid and names every
// fault by its key.
func (s *Settings) CheckRole(role string) error {
	found := &faults{}
	for _, key := range needsOf[role] {
		if s.Listen[key] == "" {
			found.add("listen."+key, "is missing, needed by the role %s", role)
		}
	}
	if role == RoleControl && s.DataDir == "" {
		found.add("dataDir", "is missing, needed by the role %s", role)
	}
	if len(found.lines) > 0 {
		return failure.New(failure.Invalid, "settings: "+strings.Join(found.lines, "; "))
	}
	return nil
}
