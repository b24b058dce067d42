package simulator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"ospreypond/policy"
)

const boot = `{"zone":"z","balancers":1,"periodUs":5000,"discovery":"push","kinds":["k"],` +
	`"classes":[{"name":"c","semantics":"safe","objectiveUs":80000,"deadlineUs":1000000,"new":1}],` +
	`"limits":{"cancelling":true,"probes":false},"report":{"via":"none"},"unknown":{"a":[1]}}`

// start has the lines that start scheduler/0 with one worker.
const start = "SWITCH_TO\tschedulerId=scheduler/0\nSTART\tinitSeed=7\tbootInfo=" + boot + "\n" +
	"REGISTRY\tstamp=1\thow=restored\tmembersList=1\n" +
	"ENTRY\tcell=0\tworker=1.2.3.4:7\taz=z\tmode=Ready\tscale=1\tmachine=k\n"

// serve returns the responses to the batches in in.
func serve(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// Each batch gets its response. Unknown lines and fields are skipped.
func TestExchange(t *testing.T) {
	got := serve(t, "BATCH\tmomentUs=1\nCOMMIT\n\nBATCH\tmomentUs=1000000\n"+start+
		"QUERY\tticket=9\tkind=c\tleftUs=1000000\tworkUs=20000\tfuture=1\nSOMETHING\tnew=1\nCOMMIT\n"+
		"BATCH\tmomentUs=1010000\nSWITCH_TO\tschedulerId=scheduler/0\nDEADLINE_HIT\ttag=1\nCOMMIT\n"+
		"BATCH\tmomentUs=1040000\nSWITCH_TO\tschedulerId=scheduler/0\nKILLED\nCOMMIT\n")
	want := "OK\nFROM\tschedulerId=scheduler/0\nARM\tinstantUs=1010000\ttag=0\nOK\n" +
		"FROM\tschedulerId=scheduler/0\nFORWARD\tticket=9\tworker=1.2.3.4:7\n"
	if !strings.HasPrefix(got, want) || !strings.HasSuffix(got, "OK\nOK\n") {
		t.Errorf("got\n%s", got)
	}
}

// The error for a malformed batch names the line or the field.
func TestMalformed(t *testing.T) {
	head := "BATCH\tmomentUs=1\n" + start
	tests := []struct{ name, in, want string }{
		{"a first line that is not BATCH", "HELLO\n", "BATCH"},
		{"a batch without a time", "BATCH\n", "momentUs"},
		{"an invalid number", head + "QUERY\tticket=x\tkind=c\nCOMMIT\n", "line 6: QUERY: field ticket"},
		{"a missing field", head + "QUERY\tticket=4\nCOMMIT\n", "QUERY: field kind is missing"},
		{"an unknown outcome", head + "VERDICT\tticket=4\tcode=odd\nCOMMIT\n", "VERDICT: field code"},
		{"a missing list entry", "BATCH\tmomentUs=1\n" + start + "REGISTRY\thow=update\tmembersList=1\nCOMMIT\n", "membersList"},
		{"a truncated batch", "BATCH\tmomentUs=1\n", "unexpected EOF"},
		{"an event without a scheduler", "BATCH\tmomentUs=1\nQUERY\tticket=4\tkind=c\nCOMMIT\n", "SWITCH_TO"},
		{"invalid settings", "BATCH\tmomentUs=1\nSWITCH_TO\tschedulerId=a\nSTART\tbootInfo={}\nCOMMIT\n", "bootInfo"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		err := Serve(strings.NewReader(tt.in), &out)
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q in it", tt.name, err, tt.want)
		}
	}
}

// Each kind of action has its line. Times are in microseconds, and timers are rounded up.
func TestActionLines(t *testing.T) {
	tests := []struct {
		a    policy.Action
		want string
	}{
		{policy.Action{Kind: policy.Send, ID: 4, Worker: "w:1", Timeout: 3 * time.Millisecond},
			"FORWARD\tticket=4\tmaxWaitUs=3000\tworker=w:1\n"},
		{policy.Action{Kind: policy.Cancel, ID: 4, Attempt: 2}, "WITHDRAW\tticket=4\tgo=2\n"},
		{policy.Action{Kind: policy.Refuse, ID: 4, RetryAfter: time.Second}, "OVERLOAD_REPLY\tticket=4\twaitUs=1000000\n"},
		{policy.Action{Kind: policy.Fail, ID: 4}, "END_FAILED\tticket=4\n"},
		{policy.Action{Kind: policy.ArmTimer, At: 1500, Token: 8}, "ARM\tinstantUs=2\ttag=8\n"},
		{policy.Action{Kind: policy.Probe, Worker: "w:1"}, "SAMPLE\tworker=w:1\n"},
		{policy.Action{Kind: policy.Subscribe}, "TAIL\ton=1\n"},
		{policy.Action{Kind: policy.CloseIdle, Worker: "w:1"}, "HANG_UP\tworker=w:1\n"},
		{policy.Action{Kind: policy.Log, Text: "a b"}, "SAY_LOG\twhat=a b\n"},
	}
	for _, tt := range tests {
		if got := string(appendAction(nil, &tt.a)); got != tt.want {
			t.Errorf("got %q, want %q", got, tt.want)
		}
	}
}

// No input makes the decision module panic.
func FuzzServe(f *testing.F) {
	f.Add("BATCH\tmomentUs=1\n" + start + "QUERY\tticket=9\tkind=c\tleftUs=-5\nCOMMIT\n")
	f.Add("BATCH\tmomentUs=1\n" + start + "PONG\tworker=1.2.3.4:7\tcode=ok\tgauge=x0:3,depth:1\nCOMMIT\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		_ = Serve(strings.NewReader(in), &out)
		if strings.Contains(out.String(), "CRASH") {
			t.Errorf("crash on %q:\n%s", in, out.String())
		}
	})
}
