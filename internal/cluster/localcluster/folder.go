package localcluster

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/store/vfs"
)

// lockName is the name of the file that is locked while a local system runs in the folder.
const lockName = "lock"

// checkOptions checks the options, and sets the machines and the backup from them. It writes no files.
func (s *system) checkOptions() error {
	dir, err := filepath.Abs(s.options.Dir)
	if err != nil {
		return err
	}
	s.options.Dir = dir
	if info, err := os.Stat(dir); err == nil && !info.IsDir() {
		return errors.Errorf("%s is not a folder", dir)
	}
	if s.machines, err = newMachines(dir, s.options.Network); err != nil {
		return err
	}
	if _, err := exec.LookPath(s.options.Program); err != nil {
		return errors.Wrap(err, "the program of the processes")
	}
	if s.options.Restore != "" {
		s.backup, err = archive.Read(s.options.Restore)
	}
	return err
}

// prepare checks that the system can start in its folder and at its addresses, then writes the settings files of all
// processes and restores the backup, if there is one.
func (s *system) prepare(ctx context.Context) error {
	isNew := s.isNew()
	if !isNew {
		if err := s.checkNetwork(); err != nil {
			return err
		}
	}
	if err := checkAddressesFree(ctx, s.machines); err != nil {
		return err
	}
	if s.backup != nil && !isNew {
		return errors.Errorf("folder %s already contains a system; a backup is restored into a new folder", s.options.Dir)
	}
	bootstrap := isNew && s.backup == nil
	for _, m := range s.machines {
		if err := m.writeSettings(s.machines, bootstrap); err != nil {
			return err
		}
	}
	if s.backup != nil {
		return s.restore()
	}
	return nil
}

// lock locks the folder against a second local system until the result is closed.
func (s *system) lock() (io.Closer, error) {
	lock, err := vfs.OS{}.Lock(filepath.Join(s.options.Dir, lockName))
	if errors.Is(err, vfs.ErrLocked) {
		return nil, errors.Errorf("a local system already runs in %s", s.options.Dir)
	}
	return lock, err
}

// checkNetwork returns an error if the system in the folder was created with another network. The members of its replica
// groups know each other by their addresses, so these must not change.
func (s *system) checkNetwork() error {
	m := withRole(s.machines, boot.RoleControl)[0]
	settings, err := boot.Load(m.settingsPath())
	if err == nil && settings.IP != m.ip {
		return errors.Errorf("folder %s contains a system with %s at %s; use its --network", s.options.Dir, m.name, settings.IP)
	}
	return nil
}

// isNew reports whether no control process has data in the folder yet.
func (s *system) isNew() bool {
	for _, m := range withRole(s.machines, boot.RoleControl) {
		if entries, err := os.ReadDir(m.dataDir()); err == nil && len(entries) > 0 {
			return false
		}
	}
	return true
}

// restore writes the backup into the data folder of the first control process. The other control processes start with empty
// folders and join its groups.
func (s *system) restore() error {
	m := withRole(s.machines, boot.RoleControl)[0]
	return s.backup.Restore(m.dataDir(), archive.Process{Node: m.name, Zone: m.zone, Address: m.address(internalPort)})
}
