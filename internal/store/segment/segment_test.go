package segment_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/store/segment"
)

// frame returns an encoded frame with these operations.
func frame(seq, durable uint64, ops ...segment.Op) []byte {
	b := make([]byte, segment.FrameSize)
	for _, o := range ops {
		b = segment.AppendOp(b, o)
	}
	segment.FinishFrame(b, segment.Frame{Seq: seq, Durable: durable, Time: time.UnixMilli(1234)})
	return b
}

func TestParsedFramesEqualTheEncodedOnes(t *testing.T) {
	ops := []segment.Op{{Kind: segment.Put, Key: []byte("key"), Value: []byte("value")},
		{Kind: segment.Delete, Key: []byte("gone")}, {Kind: segment.DeleteRange, Key: []byte("a"), End: []byte("b")}}
	b := frame(7, 5, ops...)
	f, n, err := segment.ParseFrame(append(b, "rest"...))
	require.NoError(t, err)
	require.Equal(t, len(b), n)
	require.EqualValues(t, 7, f.Seq)
	require.EqualValues(t, 5, f.Durable)
	require.Equal(t, time.UnixMilli(1234), f.Time)
	var got []segment.Op
	require.NoError(t, segment.Ops(f.Payload, func(o segment.Op) error {
		if o.Kind == segment.Put {
			require.Equal(t, "value", string(b[o.At:o.At+len(o.Value)]))
			o.At = 0
		}
		got = append(got, o)
		return nil
	}))
	require.Equal(t, ops, got)
}

func TestResyncFindsTheNextCompleteFrame(t *testing.T) {
	one := frame(1, 0, segment.Op{Kind: segment.Put, Key: []byte("a"), Value: bytes.Repeat([]byte("x"), 300<<10)})
	two := frame(2, 1, segment.Op{Kind: segment.Put, Key: []byte("b"), Value: []byte("y")})
	b := append(append([]byte{}, one...), two...)
	b[100]++
	sc := segment.NewScanner(bytes.NewReader(b), 0, int64(len(b)))
	_, _, err := sc.Next()
	require.ErrorIs(t, err, segment.ErrCorrupt)
	found, err := sc.Resync(func(f segment.Frame) bool { return f.Durable >= 1 })
	require.NoError(t, err)
	require.True(t, found)
	require.EqualValues(t, len(one), sc.Offset())
	f, _, err := sc.Next()
	require.NoError(t, err)
	require.EqualValues(t, 2, f.Seq)
	_, _, err = sc.Next()
	require.Equal(t, io.EOF, err)
}

// FuzzParseFrame expects that for any bytes the decoders either return an error or succeed, without a panic, and that
// encoding a parsed frame yields the same bytes.
func FuzzParseFrame(f *testing.F) {
	f.Add(frame(1, 0, segment.Op{Kind: segment.Put, Key: []byte("key"), Value: []byte("value")}))
	f.Add(frame(9, 3, segment.Op{Kind: segment.DeleteRange, Key: []byte("a"), End: []byte("b")}))
	f.Add(make([]byte, 64))
	f.Fuzz(func(t *testing.T, b []byte) {
		fr, n, err := segment.ParseFrame(b)
		if err != nil {
			if !errors.Is(err, segment.ErrCorrupt) {
				t.Fatal(err)
			}
		} else {
			again := append(make([]byte, segment.FrameSize), fr.Payload...)
			segment.FinishFrame(again, fr)
			if !bytes.Equal(again, b[:n]) {
				t.Fatal("the parsed frame is encoded to other bytes")
			}
		}
		// Callers usually check a payload's checksum before Ops, but Ops must not rely on that.
		_ = segment.Ops(b, func(o segment.Op) error {
			if o.Kind == segment.Put && o.At-segment.FrameSize+len(o.Value) > len(b) {
				t.Fatal("a value ends after its payload")
			}
			return nil
		})
		_, _ = segment.ParseHeader(b)
	})
}
