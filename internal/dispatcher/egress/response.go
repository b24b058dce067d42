package egress

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/policy"
)

// maxLine bounds one line of a response and maxResponse all of it; by the protocol no body exceeds 64 KiB.
const (
	maxLine     = 128 << 10
	maxResponse = 256 << 10
)

// responseLine is one JSON object of a response.
type responseLine struct {
	ID     string             `json:"id"`
	State  string             `json:"state"`
	Result json.RawMessage    `json:"result"`
	Load   map[string]float64 `json:"load"`
}

// result returns what the client gets: a JSON string's value, anything else as it was written.
func (l *responseLine) result() []byte {
	var s string
	if json.Unmarshal(l.Result, &s) == nil {
		return []byte(s)
	}
	return l.Result
}

// hasResult reports whether the line has a result.
func (l *responseLine) hasResult() bool { return len(l.Result) > 0 && string(l.Result) != "null" }

// lineReader reads a response line by line, as they arrive, up to maxResponse.
type lineReader struct {
	r     *bufio.Reader
	limit *io.LimitedReader
}

func newLineReader(r io.Reader) *lineReader {
	limit := &io.LimitedReader{R: r, N: maxResponse}
	return &lineReader{bufio.NewReader(limit), limit}
}

// next returns the next line that is not blank. A truncated one, because the connection broke, is an error.
func (l *lineReader) next() (*responseLine, error) {
	for {
		b, err := l.readLine()
		if err != nil {
			return nil, err
		}
		if b = bytes.TrimSpace(b); len(b) == 0 {
			continue
		}
		var got responseLine
		if err := json.Unmarshal(b, &got); err != nil {
			return nil, err
		}
		return &got, nil
	}
}

func (l *lineReader) readLine() ([]byte, error) {
	var all []byte
	for {
		b, err := l.r.ReadSlice('\n')
		if err == nil && all == nil {
			return b, nil
		}
		all = append(all, b...)
		switch {
		case err == nil:
			return all, nil
		case errors.Is(err, io.EOF) && l.limit.N <= 0:
			return nil, bufio.ErrTooLong
		case errors.Is(err, io.EOF) && len(all) > 0:
			return all, nil // the last line may lack its newline; a truncated one does not parse
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(all) > maxLine:
			return nil, bufio.ErrTooLong
		}
	}
}

// discard reads the rest, and reports whether it reached the response's end.
func (l *lineReader) discard() (complete bool) {
	_, err := io.Copy(io.Discard, l.r)
	return err == nil && l.limit.N > 0
}

// textReport parses a load report in the form "TEXT name=value, name=value". It skips what it does not know, and what
// is not a number.
func textReport(s *config.Settings, text string) policy.Report {
	r := policy.NoReport
	text = strings.TrimPrefix(strings.TrimSpace(text), "TEXT")
	for field := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); ok && err == nil {
			setReport(s, &r, strings.TrimSpace(name), x)
		}
	}
	return r
}

func headerReport(s *config.Settings, h http.Header) (policy.Report, bool) {
	text := h.Get("X-Server-Load")
	if text == "" {
		return policy.NoReport, false
	}
	return textReport(s, text), true
}

func lineReport(s *config.Settings, load map[string]float64) policy.Report {
	r := policy.NoReport
	for name, x := range load {
		setReport(s, &r, name, x)
	}
	return r
}

func setReport(s *config.Settings, r *policy.Report, name string, x float64) {
	if to := s.ReportField(r, name); to != nil && x >= 0 && x < 1e9 { // false for what is not a number
		*to = x
	}
}
