package agent

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("a heartbeat's body", func() {
	DescribeTable("is parsed to the same value as by json.Unmarshal",
		func(body string) {
			var want, got protocol.Heartbeat
			Expect(json.Unmarshal([]byte(body), &want)).To(Succeed())
			Expect(parseHeartbeat(body, &got)).To(Succeed())
			Expect(got).To(Equal(want))
		},
		Entry("many runs", busyHeartbeat(20)),
		Entry("no fields", ` { } `),
		Entry("white space everywhere", " {\n\t\"service\" : \"x\" ,\r\n \"labels\" : [ \"a\" , \"b\" ] }\n"),
		Entry("nulls", `{"service":null,"capacity":null,"labels":null,"active":null,"slots":null}`),
		Entry("escapes", `{"service":"a\"b\\c\u00e9\n\ud83d\ude00","zone":"plaza é"}`),
		Entry("unknown fields", `{"a":{"b":[1,-2.5e3,{"c":null}],"d":true,"e":false},"slots":8,"f":"\"}"}`),
		Entry("longer rows", `{"active":[["t",1,"s",2.5,"more",{"x":[]}]],"finished":[[1,"t",1,"done","",7]]}`),
		Entry("shorter rows", `{"active":[["t",1]],"finished":[[1,"t",1,"failed"]]}`),
	)

	DescribeTable("is rejected if it is invalid",
		func(body string) {
			Expect(parseHeartbeat(body, &protocol.Heartbeat{})).NotTo(Succeed())
		},
		Entry("empty", ""),
		Entry("an array", `[]`),
		Entry("null", `null`),
		Entry("truncated", `{"service":"x"`),
		Entry("truncated in a string", `{"service":"x`),
		Entry("truncated in an escape", `{"service":"x\`),
		Entry("truncated after a comma", `{"service":"x",`),
		Entry("trailing garbage", `{"service":"x"}}`),
		Entry("a bad escape", `{"service":"\q"}`),
		Entry("a control character", "{\"service\":\"a\nb\"}"),
		Entry("a string for a number", `{"slots":"8"}`),
		Entry("a broken number", `{"slots":8-}`),
		Entry("a negative sequence", `{"sequence":-1}`),
		Entry("a number for a string", `{"service":8}`),
		Entry("an object for a list", `{"labels":{}}`),
		Entry("a short row", `{"active":[["t"]]}`),
		Entry("a number for a row", `{"finished":[3]}`),
		Entry("a null row", `{"active":[null]}`),
		Entry("an invalid literal", `{"a":nul}`),
		Entry("deep nesting", `{"a":`+strings.Repeat("[", 100_000)),
	)
})

// TestAppendOrdersEqualsMarshal checks for random orders that appendOrders writes JSON of the same value as json.Marshal.
func TestAppendOrdersEqualsMarshal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		orders := &protocol.Orders{
			HoldMs:           rapid.Int64().Draw(t, "hold"),
			LastSeen:         rapid.Uint64Max(math.MaxInt64).Draw(t, "last seen"),
			FenceToken:       rapid.Uint64Max(math.MaxInt64).Draw(t, "fence token"),
			RetryDelayMs:     rapid.Int64Range(0, 2).Draw(t, "retry delay"),
			HeartbeatAddress: rapid.String().Draw(t, "address"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "starts") {
			orders.Start = append(orders.Start, protocol.StartOrder{Task: rapid.String().Draw(t, "task"), Run: rapid.Uint64().Draw(t, "run"),
				Spec: rapid.String().Draw(t, "spec"), Saved: rapid.String().Draw(t, "saved")})
		}
		for range rapid.IntRange(0, 3).Draw(t, "stops") {
			orders.Stop = append(orders.Stop, protocol.StopOrder{Task: rapid.String().Draw(t, "task"), Run: rapid.Uint64().Draw(t, "run")})
		}
		var want, got any
		general, err := json.Marshal(orders)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(general, &want); err != nil {
			t.Fatal(err)
		}
		body := appendOrders(nil, orders)
		if err := json.Unmarshal(body, &got); err != nil {
			t.Fatalf("%s: %v", body, err)
		}
		gotJSON, _ := json.Marshal(got)
		wantJSON, _ := json.Marshal(want)
		if string(gotJSON) != string(wantJSON) {
			t.Fatalf("got %s\nwant %s", gotJSON, wantJSON)
		}
	})
}

// TestParseHeartbeatEqualsUnmarshal checks for random heartbeats that parseHeartbeat gives the same value as json.Unmarshal.
func TestParseHeartbeatEqualsUnmarshal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeat := &protocol.Heartbeat{Service: rapid.String().Draw(t, "service"), Labels: rapid.SliceOf(rapid.String()).Draw(t, "labels"),
			Slots: rapid.Int().Draw(t, "slots"), Sequence: rapid.Uint64().Draw(t, "sequence")}
		for range rapid.IntRange(0, 3).Draw(t, "active") {
			heartbeat.Active = append(heartbeat.Active, protocol.ActiveRun{Task: rapid.String().Draw(t, "task"), Run: rapid.Uint64().Draw(t, "run"),
				Saved: rapid.String().Draw(t, "saved"), Percent: rapid.Float64().Draw(t, "percent")})
		}
		body, err := json.Marshal(heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		var want, got protocol.Heartbeat
		if err := json.Unmarshal(body, &want); err != nil {
			t.Fatal(err)
		}
		if err := parseHeartbeat(string(body), &got); err != nil {
			t.Fatalf("%s: %v", body, err)
		}
		if len(want.Labels) == 0 {
			want.Labels = got.Labels
		}
		wantJSON, _ := json.Marshal(want)
		gotJSON, _ := json.Marshal(got)
		if string(gotJSON) != string(wantJSON) {
			t.Fatalf("got %s\nwant %s", gotJSON, wantJSON)
		}
	})
}

// FuzzParseHeartbeat looks for bodies on which the reader panics or doesn't end, and for a service that isn't in the body.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add(busyHeartbeat(2))
	f.Add(`{"a":[1,{"b":"\u0041"}],"slots":1}`)
	f.Fuzz(func(t *testing.T, body string) {
		var heartbeat protocol.Heartbeat
		if parseHeartbeat(body, &heartbeat) != nil {
			return
		}
		var general struct{ Service json.RawMessage }
		if err := json.Unmarshal([]byte(body), &general); err != nil {
			return // jsonReader accepts some numbers that encoding/json rejects
		}
		if heartbeat.Service != "" && general.Service == nil {
			t.Fatalf("parseHeartbeat(%q) returns a service that is not in the body", body)
		}
	})
}
