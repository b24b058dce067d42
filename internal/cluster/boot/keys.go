package boot

import (
	"encoding/json"
	"slices"
)

// Keys returns every key that a settings file may have, sorted. A key within an object is preceded by the object's key and
// a dot. It reads an empty file, which asks for every key.
func Keys() []string {
	root := &object{values: map[string]json.RawMessage{}, problems: &problems{}}
	check(root, read(root))
	keys := slices.Clone(root.problems.keys)
	for _, key := range []string{ListenFrontend, ListenReadiness, ListenControl} {
		keys = append(keys, "listen."+key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}
