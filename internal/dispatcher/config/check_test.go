package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Settings that contradict each other or are out of range are rejected, and the error names the key. A missing setting is
// accepted where it has a default. An empty key in a row means that the settings are accepted.
func TestSettingsThatContradictAreRefused(t *testing.T) {
	const class = `{"name":"c","semantics":"safe","deadlineUs":900000}`
	for _, tt := range []struct{ settings, key string }{
		{`"classes":[` + class + `]`, ""},
		{`"classes":[{"name":"c","semantics":"keyed","keyScope":"cell","deadlineUs":9}]`, ""},
		{`"classes":[{"name":"c","semantics":"keyed","deadlineUs":9}]`, "classes[0].keyScope"},
		{`"classes":[{"name":"c","semantics":"keyed","keyScope":"rack","deadlineUs":9}]`, "classes[0].keyScope"},
		{`"classes":[{"name":"c","semantics":"safe","deadlineUs":9,"lateWorth":2}]`, "classes[0].lateWorth"},
		{`"classes":[` + class + `],"balancers":3,"slotNo":2`, ""},
		{`"classes":[` + class + `],"balancers":3,"slotNo":3`, "slotNo"},
		{`"classes":[` + class + `],"slotNo":3`, ""},
		{`"classes":[` + class + `],"slotNo":-1`, "slotNo"},
		{`"classes":[` + class + `],"balancers":-1`, "balancers"},
		{`"classes":[` + class + `],"discovery":"gossip"`, "discovery"},
		{`"classes":[` + class + `],"report":{"via":"none"}`, ""},
		{`"classes":[` + class + `],"report":{"via":"post"}`, "report.via"},
		{`"classes":[` + class + `],"kinds":["a"],"familyInfo":{"classKind":[-1]}`, ""},
		{`"classes":[` + class + `],"kinds":["a"],"familyInfo":{"classKind":[1]}`, "familyInfo.classKind[0]"},
		{`"classes":[` + class + `],"rules":{"coldFrom":1.5}`, "rules.coldFrom"},
		{`"classes":[` + class + `],"rules":{"fallMultiple":-2}`, "rules.fallMultiple"},
		{`"classes":[` + class + `],"tariffs":{"probe":-1}`, "tariffs.probe"},
		{`"classes":[` + class + `],"limits":{"maxOpen":-1}`, "limits.maxOpen"},
	} {
		_, err := loadText(t, fmt.Sprintf(`{"listen":"a:1","discovery":"a:2","settings":{%s}}`, tt.settings), nil)
		if tt.key == "" {
			require.NoError(t, err, tt.settings)
			continue
		}
		assert.ErrorContains(t, err, tt.key, tt.settings)
	}
}
