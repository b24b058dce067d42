package boot

import (
	"encoding/json"
	"slices"
)

// Keys returns every key that a settings file may have, sorted. The key of a value in an object is preceded by the
// object's key and a dot. Keys finds them by reading an empty file, which looks up every key except the keys of `listen`.
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
