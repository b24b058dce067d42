package egress

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/policy"
)

// maxLine bounds one line of an answer and maxAnswer all of it; by the protocol no body exceeds 64 KiB.
const (
	maxLine   = 128 << 10
	maxAnswer = 256 << 10
)

// line is one object of an answer.
type line struct {
	ID     string             `json:"id"`
	State  string             `json:"state"`
	Result json.RawMessage    `json:"result"`
	Load   map[string]float64 `json:"load"`
}

// result returns what the client gets: a text as it is, anything else as it was written.
func (l *line) result() []byte {
	var s string
	if json.Unmarshal(l.Result, &s) == nil {
		return []byte(s)
	}
	return l.Result
}

// hasResult tells whether a runner put a result in.
func (l *line) hasResult() bool { return len(l.Result) > 0 && string(l.Result) != "null" }

// lines reads an answer line by line, as it comes, up to maxAnswer.
type lines struct {
	r    *bufio.Reader
	left *io.LimitedReader
}

func newLines(r io.Reader) *lines {
	left := &io.LimitedReader{R: r, N: maxAnswer}
	return &lines{bufio.NewReader(left), left}
}

// next returns the next line. One that is not whole, because the connection broke in it, is an error.
func (l *lines) next() (*line, error) {
	for {
		b, err := l.read()
		if err != nil {
			return nil, err
		}
		if b = bytes.TrimSpace(b); len(b) == 0 {
			continue
		}
		var got line
		if err := json.Unmarshal(b, &got); err != nil {
			return nil, err
		}
		return &got, nil
	}
}

func (l *lines) read() ([]byte, error) {
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
		case err == io.EOF && l.left.N <= 0:
			return nil, bufio.ErrTooLong
		case err == io.EOF && len(all) > 0:
			return all, nil // the last line may have no end of line; a broken one does not parse
		case err != bufio.ErrBufferFull:
			return nil, err
		case len(all) > maxLine:
			return nil, bufio.ErrTooLong
		}
	}
}

// discard reads the rest, and tells whether it came to the answer's end.
func (l *lines) discard() (whole bool) {
	_, err := io.Copy(io.Discard, l.r)
	return err == nil && l.left.N > 0
}

// textReport decodes a load report in the form "TEXT name=value, name=value". What it does not know, or what
// is no number, it skips.
func textReport(s *config.Settings, text string) policy.Report {
	r := policy.NoReport
	text = strings.TrimPrefix(strings.TrimSpace(text), "TEXT")
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
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
