package config

import (
	"encoding/json"
	"slices"
)

// settingKeys returns the sorted keys of the settings object and of the objects in it, as dotted paths. What is in
// arrays (classes, tenants) may differ from one file to the next and has checks of its own.
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

// checkKeys refuses settings that lack a key of those in force: a truncated file would otherwise pass for settings
// with that figure at zero. If a new file sets a limit of attempts, it must be over 0.
func (c *Config) checkKeys(text []byte, old *Config) error {
	keys, err := settingKeys(text)
	if err != nil {
		return err
	}
	c.keys = keys
	if old != nil {
		for _, k := range old.keys {
			if _, found := slices.BinarySearch(keys, k); !found {
				return settingError(k, "write the whole file; one that is cut short would pass for figures at zero", "is missing, and the settings in force have it")
			}
		}
	}
	// At a start 0 means no limit; a reload that sets it where a limit was in force has a broken file.
	attempts := c.Settings.Limits.MaxAttempts
	if _, found := slices.BinarySearch(keys, "limits.maxAttempts"); found && old != nil && attempts <= 0 &&
		attempts != old.Settings.Limits.MaxAttempts {
		return settingError("limits.maxAttempts", "a limit in force is not lifted by a reload", "%d is not over 0", attempts)
	}
	return nil
}
