// Package traffic records what each request was and how it ended, in a durable store, and exports it. It never blocks
// a request: what cannot be written in time is dropped and counted.
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

// Record is one request as it is stored and exported; the JSON keys are the format of recordings and keep older
// words. Times are whole microseconds. It has no bodies, and of keys only salted hashes, which are the same for the
// same key within one store.
type Record struct {
	ArrivedUs   int64  `json:"arrived_us"` // since 1970
	Class       string `json:"class"`
	Tenant      string `json:"tenant,omitempty"`
	Key         string `json:"key,omitempty"`         // hash of the route key
	Idempotency string `json:"idempotency,omitempty"` // hash of the idempotency key
	Retry       bool   `json:"retry,omitempty"`
	DeadlineUs  int64  `json:"deadline_us"` // from the arrival on
	WorkUs      int64  `json:"work_us,omitempty"`
	// Slots and Memory are what the request needs at its runner.
	Slots       float64   `json:"slots,omitempty"`
	Memory      float64   `json:"memory,omitempty"`
	BodyBytes   int       `json:"body_bytes,omitempty"`
	Response    string    `json:"answer"`
	RespondedUs int64     `json:"answered_us"` // from the arrival on
	Attempts    []Attempt `json:"hops,omitempty"`
}

// Attempt is one attempt of a request on one runner.
type Attempt struct {
	Target  string `json:"target"`
	SentUs  int64  `json:"sent_us"` // from the request's arrival on
	TookUs  int64  `json:"took_us,omitempty"`
	Outcome string `json:"outcome"` // "open": it had not ended when the request was recorded
}

// saltSize is the length in bytes of the secret of the hashes.
const saltSize = 16

// hash returns a short keyed hash, 16 hexadecimal digits, or an empty string for an empty one. kind makes a route
// key's hash differ from the same text's as an idempotency key.
func hash(salt []byte, kind, s string) string {
	if s == "" {
		return ""
	}
	h := hmac.New(sha256.New, salt)
	h.Write([]byte(kind))
	h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// newRecord returns a record with its keys in clear text, until hashKeys. It keeps nothing of the request's body.
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

// hashKeys replaces the keys by their hashes.
func (r *Record) hashKeys(salt []byte) {
	r.Key, r.Idempotency = hash(salt, "route", r.Key), hash(salt, "idempotency", r.Idempotency)
}

// recordKey returns a store key that orders records by arrival. n separates those of the same microsecond.
func recordKey(arrived time.Time, n uint64) []byte {
	k := binary.BigEndian.AppendUint64(nil, uint64(arrived.UnixMicro()))
	return binary.BigEndian.AppendUint64(k, n)
}

// parse decodes a stored record; key is for its error.
func parse(key, value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("traffic: record %x: %w", key, err)
	}
	return r, nil
}
