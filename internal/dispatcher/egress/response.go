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

// The limits are higher than the protocol's: it allows bodies of at most 64 KiB.
const (
	maxLine     = 128 << 10 // bytes in one line of a response, or in the body of a load report
	maxResponse = 256 << 10 // bytes in the body of a response
)

// responseLine is one line of a response's body, a JSON object. A runner sends lines that report progress, then a line
// that ends the attempt.
type responseLine struct {
	ID     string             `json:"id"`
	State  string             `json:"state"`
	Result json.RawMessage    `json:"result"`
	Load   map[string]float64 `json:"load"`
}

// result returns the bytes that the client gets: the value of a JSON string, or the unchanged text of any other JSON value.
func (l *responseLine) result() []byte {
	var s string
	if json.Unmarshal(l.Result, &s) == nil {
		return []byte(s)
	}
	return l.Result
}

// hasResult reports whether the line has a result other than null.
func (l *responseLine) hasResult() bool { return len(l.Result) > 0 && string(l.Result) != "null" }

// lineReader reads the lines of a response as they arrive, up to maxResponse bytes in all.
type lineReader struct {
	r     *bufio.Reader
	limit *io.LimitedReader
}

func newLineReader(r io.Reader) *lineReader {
	limit := &io.LimitedReader{R: r, N: maxResponse}
	return &lineReader{bufio.NewReader(limit), limit}
}

// next returns the next line that is not blank. A line that is truncated, as after a broken connection, is an error.
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

// readLine returns the next line, which may be blank. It returns bufio.ErrTooLong beyond maxLine or maxResponse.
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
			return all, nil // the last line needs no newline; if it is truncated, next fails to parse it
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(all) > maxLine:
			return nil, bufio.ErrTooLong
		}
	}
}

// discard reads and drops the rest of the response, and reports whether it reached its end within maxResponse.
func (l *lineReader) discard() (complete bool) {
	_, err := io.Copy(io.Discard, l.r)
	return err == nil && l.limit.N > 0
}

// textReport parses a load report of the form "TEXT name=value, name=value". It skips unknown names and values that are
// not numbers.
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

// headerReport parses the load report in a response's header X-Server-Load, if there is one.
func headerReport(s *config.Settings, h http.Header) (policy.Report, bool) {
	text := h.Get("X-Server-Load")
	if text == "" {
		return policy.NoReport, false
	}
	return textReport(s, text), true
}

// lineReport returns the load report in a response line.
func lineReport(s *config.Settings, load map[string]float64) policy.Report {
	r := policy.NoReport
	for name, x := range load {
		setReport(s, &r, name, x)
	}
	return r
}

// setReport sets the field of r that the settings assign to name. It skips unknown names and values out of range.
func setReport(s *config.Settings, r *policy.Report, name string, x float64) {
	if to := s.ReportField(r, name); to != nil && x >= 0 && x < 1e9 { // both comparisons are false for NaN
		*to = x
	}
}
