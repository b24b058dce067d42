package boot

import (
	"encoding/json"
	"slices"
)

// Keys returns every key that a settings file may have, in order. Those inside an object follow its name and a dot.
func Keys() []string {
	root := &object{values: map[string]json.RawMessage{}, faults: &faults{}}
	check(root, read(root))
	keys := slices.Clone(root.faults.keys)
	for _, key := range []string{ListenFrontend, ListenReadiness, ListenControl} {
		keys = append(keys, "listen."+key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}
