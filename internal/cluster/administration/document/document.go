// Package document checks and compares configurations before they are applied.
package document

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/protocol"
)

// KindOf tells whether a file is a whole configuration or an update, which has "upsert" or "remove".
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

// Check tells what is wrong with a file, on top of the configuration in force; nil: it is not known.
func Check(body, present []byte) error {
	_, _, err := applied(present, body)
	return err
}

// applied returns the configuration in force, and what it would be with the file.
func applied(present, body []byte) (before, after *configuration.Document, err error) {
	kind, err := KindOf(body)
	if err != nil {
		return nil, nil, err
	}
	if present == nil && kind == protocol.ConfigurationUpdate {
		return nil, nil, errors.New("it is an update, which builds on a running system's configuration: give --control")
	}
	state, err := stateOf(present)
	if err != nil {
		return nil, nil, err
	}
	before = state.Document()
	result := state.Execute(configuration.Command{Kind: kind, Base: before.Version(), Body: body})
	return before, state.Document(), result.Err()
}

func stateOf(present []byte) (*configuration.State, error) {
	state := configuration.NewState()
	if present == nil {
		return state, nil
	}
	var head struct{ Version uint64 }
	if err := json.Unmarshal(present, &head); err != nil {
		return nil, errors.Wrap(err, "the configuration in force")
	}
	if head.Version == 0 {
		return state, nil
	}
	result := state.Execute(configuration.Command{Kind: protocol.ConfigurationReplace, Body: present})
	return state, errors.Wrap(result.Err(), "the configuration in force")
}

// raisedVersion returns the version that a file has, and the file with one that is above the one in force: what a change
// does can be told before it is given its number.
func raisedVersion(present, body []byte) (said uint64, raised []byte, err error) {
	var head, in struct{ Version uint64 }
	if err := configuration.CheckSyntax(body); err != nil {
		return 0, nil, err
	}
	if json.Unmarshal(body, &head) != nil || json.Unmarshal(present, &in) != nil {
		return 0, body, nil // what is wrong is told when it is tried
	}
	if head.Version > in.Version {
		return head.Version, body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return 0, nil, err
	}
	fields["version"] = json.RawMessage(strconv.FormatUint(in.Version+1, 10))
	raised, err = json.Marshal(fields)
	return head.Version, raised, err
}
