// Package traffic records each request and how it ended in a durable store, and exports the records. Recording never
// blocks a request: records that can't be written in time are dropped and counted.
package traffic

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"ospreypond/internal/dispatcher/coordinator"
)

// Record is one request in the store and in an export. The JSON keys are part of the format, so they stay although some
// differ from the fields' names. Times are whole microseconds. A record doesn't contain the request's body, and it has only
// salted hashes of the request's keys. Within one store the same key has the same hash.
type Record struct {
	ArrivedUs   int64  `json:"arrived_us"` // Unix time
	Class       string `json:"class"`
	Tenant      string `json:"tenant,omitempty"`
	Key         string `json:"key,omitempty"`         // hash of the route key
	Idempotency string `json:"idempotency,omitempty"` // hash of the idempotency key
	Retry       bool   `json:"retry,omitempty"`
	DeadlineUs  int64  `json:"deadline_us"`       // since the arrival
	WorkUs      int64  `json:"work_us,omitempty"` // the client's estimate of the work, from X-Cost
	// Slots and Memory are the amounts that the request needs at its runner.
	Slots       float64   `json:"slots,omitempty"`
	Memory      float64   `json:"memory,omitempty"`
	BodyBytes   int       `json:"body_bytes,omitempty"`
	Response    string    `json:"answer"`      // the kind of the response
	RespondedUs int64     `json:"answered_us"` // since the arrival
	Attempts    []Attempt `json:"hops,omitempty"`
}

// Attempt is one attempt of a request on one runner.
type Attempt struct {
	Target  string `json:"target"`
	SentUs  int64  `json:"sent_us"`           // since the request's arrival
	TookUs  int64  `json:"took_us,omitempty"` // the duration of the attempt
	Outcome string `json:"outcome"`           // "open": the attempt had not ended when the request was recorded
}

// saltSize is the length in bytes of the secret salt of the hashes.
const saltSize = 16

// hash returns the first 16 hexadecimal digits of s's HMAC-SHA256, or an empty string for an empty s. kind makes the hash of
// a route key differ from the hash of the same text as an idempotency key.
func hash(salt []byte, kind, s string) string {
	if s == "" {
		return ""
	}
	h := hmac.New(sha256.New, salt)
	h.Write([]byte(kind))
	h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// newRecord returns a record with keys in clear text; hashKeys replaces them by hashes. It retains no part of the request's
// body.
func newRecord(e *coordinator.EndedRequest) Record {
	r := e.Request
	rec := Record{ArrivedUs: r.Arrived.UnixMicro(), Class: r.Class, Tenant: r.Tenant, Key: r.Key,
		Idempotency: r.IdempotencyKey, Retry: r.Retry, DeadlineUs: r.Deadline.Sub(r.Arrived).Microseconds(),
		WorkUs: r.Work.Microseconds(), Slots: r.Slots, Memory: r.Memory, BodyBytes: len(r.Body), Response: e.Response.String(),
		RespondedUs: e.RespondedAt.Sub(r.Arrived).Microseconds()}
	for _, h := range e.Attempts {
		attempt := Attempt{Target: h.Target, SentUs: h.Sent.Sub(r.Arrived).Microseconds(), Outcome: "open"}
		if h.Ended {
			attempt.TookUs, attempt.Outcome = h.Took.Microseconds(), h.Outcome.String()
		}
		rec.Attempts = append(rec.Attempts, attempt)
	}
	return rec
}

// hashKeys replaces the route key and the idempotency key by their hashes.
func (r *Record) hashKeys(salt []byte) {
	r.Key, r.Idempotency = hash(salt, "route", r.Key), hash(salt, "idempotency", r.Idempotency)
}

// recordKey returns a store key that orders records by arrival. n makes the keys of records of the same microsecond
// differ.
func recordKey(arrived time.Time, n uint64) []byte {
	k := binary.BigEndian.AppendUint64(nil, uint64(arrived.UnixMicro()))
	return binary.BigEndian.AppendUint64(k, n)
}

// parse decodes a stored record. key is named in its error.
func parse(key, value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("traffic: record %x: %w", key, err)
	}
	return r, nil
}
