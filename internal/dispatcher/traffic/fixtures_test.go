package traffic

import (
	"bytes"
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// earlierTraffic is a store that the version of commit c9b2399 recorded, with a request of each response and each outcome.
// The files next to it are that version's exports, one for each format. They must never be rewritten: such records are on
// disks, and other programs read the exports.
const earlierTraffic = "testdata/c9b2399"

// Traffic that an earlier version recorded can be read, and its export is the same byte for byte.
func TestTrafficOfAnEarlierVersionIsExportedAlike(t *testing.T) {
	for _, format := range Formats {
		t.Run(string(format), func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(earlierTraffic)))
			expected, err := os.ReadFile(earlierTraffic + "." + string(format))
			require.NoError(t, err)
			var exported bytes.Buffer
			_, err = Export(context.Background(), dir, format, time.Time{}, time.Time{}, &exported)
			require.NoError(t, err)
			assert.Equal(t, string(expected), exported.String())
		})
	}
}
