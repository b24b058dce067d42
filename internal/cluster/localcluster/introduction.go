package localcluster

import (
	"strings"

	"ospreypond/internal/cluster/boot"
)

// printIntroduction prints the addresses and pids of the processes, and commands to try.
func (s *system) printIntroduction() {
	for _, p := range s.processes {
		m := p.machine
		s.printf("%-11s %s  pid %d  %s", m.name, m.describe(), p.pid(), m.zone)
	}
	frontend := withRole(s.machines, boot.RoleFrontend)[0].address(frontendPort)
	s.printf(`ready; settings, logs and data are under %s
try, in another terminal:
  export OSPREYPOND_CONTROL=%s
  %s members
  curl -i -H 'Host: %s' -d '{"spec":"sleep 2s","steps":[{"count":3,"cpu":500,"memoryLimitMb":64}]}' http://%s%s0123456789abcdef
  curl -H 'Host: %s' http://%s%s0123456789abcdef
  %s jobs list
Ctrl-C ends all`,
		s.options.Dir, strings.Join(s.controlAddresses(), ","), s.options.Program, demoHost, frontend, demoPrefix, demoHost, frontend, demoPrefix,
		s.options.Program)
}

// describe returns the addresses of the machine's process, each with its purpose, for people.
func (m *machine) describe() string {
	switch m.role {
	case boot.RoleFrontend:
		return "clients " + m.address(frontendPort) + "  readiness " + m.address(readinessPort)
	case boot.RoleAgent:
		return "runner's heartbeats " + m.address(controlPort)
	default:
		return "operator " + m.address(controlPort) + "  commands " + m.address(internalPort)
	}
}
