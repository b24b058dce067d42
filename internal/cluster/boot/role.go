package boot

import (
	"strings"

	"ospreypond/internal/cluster/failure"
)

// Roles of a process. Each is also the name of the program's command that runs a process of that role.
const (
	RoleControl  = "control"
	RoleFrontend = "frontend"
	RoleAgent    = "agent"
)

// addressesByRole has for each role the keys of Settings.Listen that it requires.
var addressesByRole = map[string][]string{
	RoleControl:  {ListenControl},
	RoleFrontend: {ListenFrontend, ListenReadiness},
	RoleAgent:    {ListenControl},
}

// CheckRole returns nil if a process of the role can run with the settings. Otherwise its error is of kind
// failure.Invalid and lists every missing key.
func (s *Settings) CheckRole(role string) error {
	found := &problems{}
	for _, key := range addressesByRole[role] {
		if s.Listen[key] == "" {
			found.add("listen."+key, "is missing, required by the role %s", role)
		}
	}
	if role == RoleControl && s.DataDir == "" {
		found.add("dataDir", "is missing, required by the role %s", role)
	}
	if len(found.lines) > 0 {
		return failure.New(failure.Invalid, "settings: "+strings.Join(found.lines, "; "))
	}
	return nil
}
