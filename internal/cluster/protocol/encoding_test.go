package protocol_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

// Messages as an earlier version declared them, with plain strings in place of JobState, ChangeKind and RunEnd. Processes of
// both versions exchange messages during an upgrade.
type (
	plainStatus    struct{ State string }
	plainConfigure struct {
		Kind string
		Base uint64
		Body []byte
	}
	plainFinished struct {
		N     uint64
		Task  string
		Run   uint64
		How   string
		Saved string
	}
)

// recode encodes from by gob and decodes it into to.
func recode(from, to any) {
	GinkgoHelper()
	var buffer bytes.Buffer
	Expect(gob.NewEncoder(&buffer).Encode(from)).To(Succeed())
	Expect(gob.NewDecoder(&buffer).Decode(to)).To(Succeed())
}

var _ = DescribeTable("gob encodes a named string type like a plain string",
	func(plain, typed, emptyPlain, emptyTyped any) {
		recode(plain, emptyTyped)
		Expect(emptyTyped).To(Equal(typed))
		recode(typed, emptyPlain)
		Expect(emptyPlain).To(Equal(plain))
	},
	Entry("the state of a job", &plainStatus{"queued"}, &protocol.StatusResponse{State: protocol.JobQueued},
		&plainStatus{}, &protocol.StatusResponse{}),
	Entry("the kind of a change", &plainConfigure{"update", 3, []byte("{}")},
		&protocol.ConfigureRequest{Kind: protocol.ConfigurationUpdate, Base: 3, Body: []byte("{}")},
		&plainConfigure{}, &protocol.ConfigureRequest{}),
	Entry("the end of a run", &plainFinished{1, "t", 2, "lapsed", "c"},
		&protocol.FinishedRun{N: 1, Task: "t", Run: 2, How: protocol.EndLapsed, Saved: "c"},
		&plainFinished{}, &protocol.FinishedRun{}),
)

var _ = DescribeTable("a run or an order is a row in JSON",
	func(row string, value, empty any) {
		Expect(json.Unmarshal([]byte(row), empty)).To(Succeed())
		Expect(empty).To(Equal(value))
		encoded, err := json.Marshal(value)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(encoded)).To(Equal(row))
	},
	Entry("active run", `["t",2,"c",12.5]`, &protocol.ActiveRun{Task: "t", Run: 2, Saved: "c", Percent: 12.5}, &protocol.ActiveRun{}),
	Entry("finished run", `[1,"t",2,"done","c"]`,
		&protocol.FinishedRun{N: 1, Task: "t", Run: 2, How: protocol.EndDone, Saved: "c"}, &protocol.FinishedRun{}),
	Entry("start", `["t",2,"s","c"]`, &protocol.StartOrder{Task: "t", Run: 2, Spec: "s", Saved: "c"}, &protocol.StartOrder{}),
	Entry("stop", `["t",2]`, &protocol.StopOrder{Task: "t", Run: 2}, &protocol.StopOrder{}),
)

var _ = DescribeTable("a row with too few fields is rejected",
	func(row string, empty any, want string) {
		Expect(json.Unmarshal([]byte(row), empty)).To(MatchError(ContainSubstring(want)))
	},
	Entry("active run", `["t"]`, &protocol.ActiveRun{}, "row has 1 fields, expected at least 2"),
	Entry("finished run", `[1,"t",2]`, &protocol.FinishedRun{}, "row has 3 fields, expected at least 4"),
	Entry("start", `["t",2]`, &protocol.StartOrder{}, "row has 2 fields, expected at least 3"),
	Entry("stop", `[]`, &protocol.StopOrder{}, "row has 0 fields, expected at least 2"),
)
