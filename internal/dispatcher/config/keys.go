package config

import (
	"encoding/json"
	"slices"
)

// settingKeys returns the keys of the settings object and of the objects within it, as sorted dotted paths. It leaves
// out keys within arrays (classes, tenants): their entries may differ from file to file, and checkClasses checks the
// classes.
func settingKeys(text []byte) ([]string, error) {
	var file struct {
		Settings map[string]any `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	var keys []string
	var walk func(prefix string, m map[string]any)
	walk = func(prefix string, m map[string]any) {
		for k, v := range m {
			keys = append(keys, prefix+k)
			if inner, ok := v.(map[string]any); ok {
				walk(prefix+k+".", inner)
			}
		}
	}
	walk("", file.Settings)
	slices.Sort(keys)
	return keys, nil
}

// checkKeys records the file's keys in c. At a reload, when old is the configuration to replace, it rejects a file if its
// settings lack a key of the old settings. Otherwise a truncated file would set the missing keys to zero. A reload also
// must not change limits.maxAttempts to 0.
func (c *Config) checkKeys(text []byte, old *Config) error {
	keys, err := settingKeys(text)
	if err != nil {
		return err
	}
	c.keys = keys
	if old != nil {
		for _, k := range old.keys {
			if _, found := slices.BinarySearch(keys, k); !found {
				return settingError(k, "write the complete file; a key that a truncated file lacks would be read as 0", "is missing, but the current settings have it")
			}
		}
	}
	// At the start, 0 means no limit. At a reload, a change from a limit to 0 is taken as a sign of a broken file.
	attempts := c.Settings.Limits.MaxAttempts
	if _, found := slices.BinarySearch(keys, "limits.maxAttempts"); found && old != nil && attempts <= 0 &&
		attempts != old.Settings.Limits.MaxAttempts {
		return settingError("limits.maxAttempts", "give a limit over 0; a reload cannot remove the limit", "%d is not over 0", attempts)
	}
	return nil
}
