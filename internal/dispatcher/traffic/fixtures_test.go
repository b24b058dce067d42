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

// earlierTraffic is what commit c9b2399 recorded of a request with each answer and each outcome, and beside it, by format,
// what that version exported. None of it may ever be rewritten: such records are on disks, and others read the exports.
const earlierTraffic = "testdata/c9b2399"

// Guards against recorded traffic that a later version cannot read, or exports in another form.
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
