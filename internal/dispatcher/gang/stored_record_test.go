package gang

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The stored form of a record stays the same byte for byte, as submitters write it and records outlast dispatchers.
func TestStoredRecord(t *testing.T) {
	at := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	want := Record{Name: "g", Needs: []Need{{Class: "c", Kind: "k", Slots: 1.5, Work: time.Second, StateBytes: 9}}, Priority: 2, Due: at, Submitted: at,
		Phase: Saving, Generation: 3, Owner: Owner{Name: "d1", Epoch: 4}, Placement: []string{"r1"},
		Checkpoint:         &Checkpoint{Generation: 2, Number: 1, Progress: 0.5, Digests: []string{"x"}},
		PreviousCheckpoint: &Checkpoint{Generation: 1, Number: 7, Progress: 0.25, Digests: []string{"y"}},
		SaveNumber:         5, Relocate: true, FailedStarts: 6, NotBefore: at, Takeovers: 8, Cause: SaveDue, WriteID: "d1/4/9"}
	stored, err := json.Marshal(want)
	require.NoError(t, err)
	assert.Equal(t, `{"name":"g","needs":[{"class":"c","kind":"k","slots":1.5,"work_ns":1000000000,"saved_bytes":9}],"priority":2,"`+
		`due":"2026-12-01T08:00:00Z","submitted":"2026-12-01T08:00:00Z","phase":"saving","generation":3,"holder":{"name`+
		`":"d1","life":4},"placement":["r1"],"checkpoint":{"generation":2,"number":1,"share":0.5,"digests":["x"]},"befo`+
		`re":{"generation":1,"number":7,"share":0.25,"digests":["y"]},"number":5,"leave":true,"tries":6,"not_before":"2`+
		`026-12-01T08:00:00Z","taken":8,"why":"a save is due","mark":"d1/4/9"}`, string(stored))
	var got Record
	require.NoError(t, json.Unmarshal(stored, &got))
	assert.Equal(t, want, got)
}
