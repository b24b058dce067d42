// Package document checks files with configurations and compares them with the current configuration, before an operator
// applies them. It never changes the configuration and does no I/O. A file has the JSON of a complete configuration or of
// an update. The current configuration is the JSON that the cluster returns; its version is 0 before the first
// configuration.
package document

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/protocol"
)

// KindOf returns the kind of change in a file: protocol.ConfigurationUpdate if it has a field "upsert" or "remove", else
// protocol.ConfigurationReplace.
func KindOf(body []byte) (string, error) {
	if err := configuration.CheckSyntax(body); err != nil {
		return "", err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", err
	}
	_, upserts := fields["upsert"]
	_, removes := fields["remove"]
	if upserts || removes {
		return protocol.ConfigurationUpdate, nil
	}
	return protocol.ConfigurationReplace, nil
}

// Check returns an error if a file can't be applied to the current configuration. If current is nil, because no system was
// queried, a complete configuration is checked as the first one, and an update is an error.
func Check(body, current []byte) error {
	_, _, err := applyTo(current, body)
	return err
}

// applyTo returns the current configuration, and the configuration that results from applying the file to it.
func applyTo(current, body []byte) (before, after *configuration.Document, err error) {
	kind, err := KindOf(body)
	if err != nil {
		return nil, nil, err
	}
	if current == nil && kind == protocol.ConfigurationUpdate {
		return nil, nil, errors.New("it is an update, which builds on a running system's configuration: give --control")
	}
	state, err := stateWith(current)
	if err != nil {
		return nil, nil, err
	}
	before = state.Document()
	result := state.Execute(configuration.Command{Kind: kind, Base: before.Version(), Body: body})
	return before, state.Document(), result.Err()
}

// stateWith returns a state with the current configuration, or the state before the first configuration if current is nil.
func stateWith(current []byte) (*configuration.State, error) {
	state := configuration.NewState()
	if current == nil {
		return state, nil
	}
	var head struct{ Version uint64 }
	if err := json.Unmarshal(current, &head); err != nil {
		return nil, errors.Wrap(err, "parse the current configuration")
	}
	if head.Version == 0 {
		return state, nil
	}
	result := state.Execute(configuration.Command{Kind: protocol.ConfigurationReplace, Body: current})
	return state, errors.Wrap(result.Err(), "check the current configuration")
}

// raiseVersion returns the version of a file, and the file with a version above the current one. Without that, a file could
// be compared only after the operator has raised its version.
func raiseVersion(current, body []byte) (version uint64, raised []byte, err error) {
	var head, present struct{ Version uint64 }
	if err := configuration.CheckSyntax(body); err != nil {
		return 0, nil, err
	}
	if json.Unmarshal(body, &head) != nil || json.Unmarshal(current, &present) != nil {
		return 0, body, nil // applyTo returns the error
	}
	if head.Version > present.Version {
		return head.Version, body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return 0, nil, err
	}
	fields["version"] = json.RawMessage(strconv.FormatUint(present.Version+1, 10))
	raised, err = json.Marshal(fields)
	return head.Version, raised, err
}
