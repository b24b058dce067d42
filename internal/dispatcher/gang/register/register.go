// Package register is the client of the store that gangs' records and states are in. It speaks plain HTTP (RFC 9110): a record
// is a resource with an ETag, every write of it is conditional (If-Match, or If-None-Match: * for a first one), and a part of a
// state is written once (If-None-Match: *) with its digest (RFC 9530), which the store checks.
//
//	GET  /gangs                                      {"gangs":{"NAME":"ETAG",...}}
//	GET  /gangs/NAME                                 the record, with its ETag
//	PUT  /gangs/NAME                                 If-Match: ETAG; 412 where another version is there
//	GET  /gangs/NAME/saves/GENERATION-NUMBER         {"parts":["DIGEST",...]}, empty where one is missing
//	PUT  /gangs/NAME/saves/GENERATION-NUMBER/MEMBER  If-None-Match: *, Content-Digest; written by the member itself
//
// The client tries nothing again by itself. What a lost answer leaves open is said as gang.Unknown, and the core finds out.
package register

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"ospreypond/internal/dispatcher/gang"
)

// The bounds on what is read of an answer.
const (
	maxList   = 4 << 20
	maxRecord = 256 << 10
)

// Error is a call to the register that brought nothing to go by.
type Error struct {
	Call    string // method and path
	Problem string
	Fix     string // what an operator can do
	Err     error
}

// Error names the call, the problem, its cause and the remedy.
func (e *Error) Error() string {
	s := "register: " + e.Call + ": " + e.Problem
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s + " (" + e.Fix + ")"
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Client calls one register. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the register at base, such as http://10.0.0.9:8600. A call takes limit at the longest.
func New(base string, limit time.Duration) *Client {
	return &Client{base: base, http: &http.Client{Timeout: limit, Transport: &http.Transport{Proxy: nil, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// List returns all gangs with their versions.
func (c *Client) List(ctx context.Context) (map[string]gang.Version, error) {
	var l struct {
		Gangs map[string]gang.Version `json:"gangs"`
	}
	_, err := c.get(ctx, "/gangs", maxList, &l)
	return l.Gangs, err
}

// Get returns a record and its version.
func (c *Client) Get(ctx context.Context, name string) (r gang.Record, v gang.Version, err error) {
	path := "/gangs/" + url.PathEscape(name)
	if v, err = c.get(ctx, path, maxRecord, &r); err == nil && v == "" {
		err = &Error{Call: "GET " + path, Problem: "the answer has no ETag", Fix: "writes can't be conditional; use a register that tells versions"}
	}
	return r, v, err
}

// Parts returns the digests of the parts that are there of a save, by member; one that is missing is empty.
func (c *Client) Parts(ctx context.Context, name string, generation uint64, number int) ([]string, error) {
	var l struct {
		Parts []string `json:"parts"`
	}
	_, err := c.get(ctx, fmt.Sprintf("/gangs/%s/saves/%d-%d", url.PathEscape(name), generation, number), maxRecord, &l)
	return l.Parts, err
}

func (c *Client) get(ctx context.Context, path string, most int64, into any) (gang.Version, error) {
	call := "GET " + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return "", &Error{call, "is no request", "mend the register's address", err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", &Error{call, "no answer", "look at the register and the way to it; gangs go on as they are", err}
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return "", &Error{call, "answered " + resp.Status, "look at the register's log", nil}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = fmt.Errorf("over %d bytes", most)
	}
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		return "", &Error{call, "the answer can't be read", "what is there was not written by a dispatcher or submitter", err}
	}
	return gang.Version(resp.Header.Get("ETag")), nil
}

// Put writes a record if its version is still the one given, or if there is none where that is empty. Unknown says that it may
// have taken effect or not, with an error that says why.
func (c *Client) Put(ctx context.Context, r *gang.Record, still gang.Version) (gang.Outcome, gang.Version, error) {
	path := "/gangs/" + url.PathEscape(r.Name)
	call := "PUT " + path
	body, err := json.Marshal(r)
	if err != nil {
		return gang.Unknown, "", &Error{call, "the record can't be written", "report it", err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+path, bytes.NewReader(body))
	if err != nil {
		return gang.Unknown, "", &Error{call, "is no request", "mend the register's address", err}
	}
	req.Header.Set("Content-Type", "application/json")
	if still == "" {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", string(still))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return gang.Unknown, "", &Error{call, "no answer", "look at the register and the way to it; the record is read again", err}
	}
	defer closeBody(resp)
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRecord)) // so that the connection serves again
	switch v := gang.Version(resp.Header.Get("ETag")); {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return gang.Conflict, "", nil
	case (resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated || resp.StatusCode == http.StatusNoContent) && v != "":
		return gang.Written, v, nil
	}
	return gang.Unknown, "", &Error{call, "answered " + resp.Status, "look at the register's log; the record is read again", nil}
}

// closeBody closes an answer's body. What was needed of it has been read by then, so an error changes nothing.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }
