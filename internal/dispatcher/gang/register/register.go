// Package register is the client of the register, the store of the records and checkpoints of gangs. The protocol is HTTP
// (RFC 9110). A record is a resource with an ETag. Every write of a record is conditional, with If-Match, or with
// If-None-Match: * for the first one. A part of a checkpoint is written only once (If-None-Match: *), with its digest (RFC
// 9530), which the register checks.
//
//	GET  /gangs                                      {"gangs":{"NAME":"ETAG",...}}
//	GET  /gangs/NAME                                 the record, and its ETag in a header
//	PUT  /gangs/NAME                                 If-Match: ETAG; status 412 if the record has another version
//	GET  /gangs/NAME/saves/GENERATION-NUMBER         {"parts":["DIGEST",...]}, by member; "" for a missing part
//	PUT  /gangs/NAME/saves/GENERATION-NUMBER/MEMBER  If-None-Match: *, Content-Digest; written by the member itself
//
// The client does not retry. If the answer of a write is lost, its outcome is gang.Unknown, and the core reads the record.
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

// The sizes of the largest answers that are read, in bytes: of a list of all gangs, and of a record or a list of parts.
const (
	maxList   = 4 << 20
	maxRecord = 256 << 10
)

// Error is the error of a call to the register that had no usable answer.
type Error struct {
	Call    string // method and path
	Problem string
	Fix     string // the remedy for an operator
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

// Client makes calls to one register. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the register at the URL base, such as http://10.0.0.9:8600. timeout is the timeout of each call.
func New(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{Timeout: timeout, Transport: &http.Transport{Proxy: nil, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// List returns all gangs with their versions. The errors of all calls are of type *Error.
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
		err = &Error{Call: "GET " + path, Problem: "the answer has no ETag", Fix: "writes can't be conditional; use a register that returns versions"}
	}
	return r, v, err
}

// Parts returns the digests of a save's parts by member. The digest of a missing part is empty.
func (c *Client) Parts(ctx context.Context, name string, generation uint64, number int) ([]string, error) {
	var l struct {
		Parts []string `json:"parts"`
	}
	_, err := c.get(ctx, fmt.Sprintf("/gangs/%s/saves/%d-%d", url.PathEscape(name), generation, number), maxRecord, &l)
	return l.Parts, err
}

// get makes a GET call, decodes an answer of at most maxBytes from JSON into into, and returns its ETag.
func (c *Client) get(ctx context.Context, path string, maxBytes int64, into any) (gang.Version, error) {
	call := "GET " + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return "", &Error{call, "the request can't be made", "correct the register's address", err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", &Error{call, "no answer", "check the register and the network to it; gangs continue as they are", err}
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return "", &Error{call, "answered " + resp.Status, "see the register's log", nil}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = fmt.Errorf("it has more than %d bytes", maxBytes)
	}
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		return "", &Error{call, "the answer can't be read", "neither a dispatcher nor a submitter wrote this; see what the register has at this path", err}
	}
	return gang.Version(resp.Header.Get("ETag")), nil
}

// Put writes a record if the register's record has the version ifVersion, or if that is empty and the register has no such
// record. The error is not nil if and only if the outcome is gang.Unknown: the write may have taken effect or not.
func (c *Client) Put(ctx context.Context, r *gang.Record, ifVersion gang.Version) (gang.Outcome, gang.Version, error) {
	path := "/gangs/" + url.PathEscape(r.Name)
	call := "PUT " + path
	body, err := json.Marshal(r)
	if err != nil {
		return gang.Unknown, "", &Error{call, "the record can't be encoded as JSON", "report this as a fault of the dispatcher", err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+path, bytes.NewReader(body))
	if err != nil {
		return gang.Unknown, "", &Error{call, "the request can't be made", "correct the register's address", err}
	}
	req.Header.Set("Content-Type", "application/json")
	if ifVersion == "" {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", string(ifVersion))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return gang.Unknown, "", &Error{call, "no answer", "check the register and the network to it; the record will be read again", err}
	}
	defer closeBody(resp)
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRecord)) // so that the connection can be reused
	switch v := gang.Version(resp.Header.Get("ETag")); {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return gang.Conflict, "", nil
	case (resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated || resp.StatusCode == http.StatusNoContent) && v != "":
		return gang.Written, v, nil
	}
	return gang.Unknown, "", &Error{call, "answered " + resp.Status, "see the register's log; the record will be read again", nil}
}

// closeBody closes the body of an answer. The caller has read the needed part of the body by then, so an error has no
// effect.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }
