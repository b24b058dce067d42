package cli

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/protocol"

	faults "ospreypond/internal/cluster/failure"
)

// smallJob is a valid job with one step of two tasks.
const smallJob = `{"spec":"x","steps":[{"count":2,"cpu":100}]}`

// smallConfiguration is a valid configuration of version 5.
const smallConfiguration = `{"version":5,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":9,"service":"s"}],` +
	`"services":[{"name":"s"}],"limits":{"maxBodyBytes":5}}`

var _ = DescribeTable("an invalid command line ends with exit status 2 and names the error, without calling the system:",
	func(commandLine, said string) {
		system := &fakeSystem{}
		ended := runCommand(system, smallJob, commandLine)
		Expect(ended.status).To(Equal(exitUsage), ended.err)
		Expect(ended.err).To(ContainSubstring(said))
		Expect(ended.err).To(ContainSubstring("--help"))
		Expect(ended.out).To(BeEmpty())
		Expect(system.calls).To(BeEmpty())
	},
	Entry(nil, "members", "--control is missing, and OSPREYPOND_CONTROL is not set"),
	Entry(nil, "members --control nonsense", "--control: not an address"),
	Entry(nil, "members --control a:1 --timeout 0s", "--timeout: 0s is not above 0"),
	Entry(nil, "members --control a:1 --timeout soon", `invalid argument "soon"`),
	Entry(nil, "members --control a:1 -o xml", `--output: "xml" is neither text nor json`),
	Entry(nil, "members --control a:1 all", `"all" is one argument too many`),
	Entry(nil, "members --nonsense", "unknown flag: --nonsense"),
	Entry(nil, "shards --control a:1 1", "one argument too many"),
	Entry(nil, "runners --control a:1 1", "one argument too many"),
	Entry(nil, "drain --control a:1", "NODE is missing"),
	Entry(nil, "config", "a command is missing"),
	Entry(nil, "config forget", `unknown command "forget"`),
	Entry(nil, "config check", "FILE is missing"),
	Entry(nil, "config check - -o yaml", "--output"),
	Entry(nil, "config apply --control a:1", "FILE is missing"),
	Entry(nil, "config apply - --base -3 --control a:1", "--base: -3 is not a version"),
	Entry(nil, "config apply - --base new --control a:1", `invalid argument "new"`),
	Entry(nil, "config diff --control a:1", "FILE is missing"),
	Entry(nil, "jobs", "a command is missing"),
	Entry(nil, "jobs submit - --control a:1", "--queue is missing"),
	Entry(nil, "jobs submit - --control a:1 --queue h/p --id 12", `--id: "12" is not a job's id`),
	Entry(nil, "jobs submit --queue h/p --control a:1", "FILE is missing"),
	Entry(nil, "jobs status --control a:1", "ID is missing"),
	Entry(nil, "jobs status nonsense --control a:1", `"nonsense" is not a job's id, which has 16 hex digits`),
	Entry(nil, "jobs cancel 5c0e7a21d94b36f --control a:1", "is not a job's id"),
	Entry(nil, "jobs list h/p --control a:1", "one argument too many"),
	Entry(nil, "state", "a command is missing"),
	Entry(nil, "state verify", "DIR is missing"),
	Entry(nil, "state inspect folder -o xml", "--output"),
	Entry(nil, "backup --control a:1", "FILE is missing"),
	Entry(nil, "restore", "FILE is missing"),
	Entry(nil, "restore x", "--dir is missing"),
	Entry(nil, "restore x --dir y", "must say which process the folder is for"),
	Entry(nil, "restore x --dir y --node a --address b", `--address: "b" is not an ip:port`),
)

var _ = DescribeTable("a command ends with exit status 1 and prints the cause, and advice if there is any, if it meets",
	func(commandLine, input string, err error, said ...string) {
		ended := runCommand(&fakeSystem{err: err, version: 5, body: smallConfiguration}, input, commandLine)
		Expect(ended.status).To(Equal(exitFailure), ended.err)
		for _, part := range said {
			Expect(ended.err).To(ContainSubstring(part))
		}
	},
	Entry("a system that does not answer", "shards --control a:1", "", faults.New(faults.Unavailable, "nobody"),
		"unavailable: nobody", "What to do: look at `members`"),
	Entry("a change with an unknown outcome", "config apply - --control a:1 --base 5", smallConfiguration, faults.New(faults.UnknownOutcome, "cut"),
		"unknown_outcome: cut", "What to do: send the same request again"),
	Entry("a change based on another version", "config apply - --control a:1 --base 5", smallConfiguration, faults.New(faults.Conflict, "7 is current"),
		"conflict: 7 is current", "What to do: read the configuration"),
	Entry("an error without a kind", "members --control a:1", "", errors.New("no space left"), "ospreypond members: no space left\n"),
	Entry("an unknown job", "jobs status 5c0e7a21d94b36f8 --control a:1", "", faults.New(faults.Gone, "no such job"),
		"gone: no such job"),
	Entry("a queue that does not exist", "jobs submit - --queue h/q --control a:1", smallJob, faults.New(faults.NoRoute, "there is no queue"),
		"job ", ": no_route: there is no queue"),
	Entry("a job that is not JSON", "jobs submit - --queue h/q --control a:1", "soon", nil, "- is not a job: invalid character"),
	Entry("a job without steps", "jobs submit - --queue h/q --control a:1", "{}", nil, "steps is missing or empty"),
	Entry("a job that is a list", "jobs submit - --queue h/q --control a:1", "[]", nil, "- is not a job"),
	Entry("a missing configuration file", "config check /no/such/file", "", nil, "no such file"),
	Entry("a truncated configuration", "config check -", `{"version":1`, nil, "-: invalid: the body is not exactly one JSON value"),
	Entry("a configuration with an unknown service", "config check -", strings.Replace(smallConfiguration, `"s"}],"l`, `"t"}],"l`, 1), nil, "-: invalid", `"s"`),
	Entry("an update without a configuration to apply it to", "config check -", `{"version":6,"upsert":{}}`, nil, "give --control"),
	Entry("a configuration with an old version", "config check - --control a:1", smallConfiguration, nil, "invalid: version 5 is not above the current 5"),
	Entry("invalid settings", "config check --settings -", `{"ip":"x","seeds":5}`, nil,
		"nodeName: is missing", `ip: expected an IP address, found "x"`, "seeds: expected a list of strings, found 5"),
	Entry("a missing state folder", "state verify /no/such/folder", "", nil, "no such file"),
	Entry("a file that is not a backup", "restore /etc/hostname --dir /no/such --node a --address 10.0.0.1:7380", "", nil,
		"/etc/hostname: it is not a backup"),
	Entry("a backup file that already exists", "backup /etc/hostname --control a:1", "", nil, "/etc/hostname already exists"),
)

var _ = DescribeTable("a command calls the system and prints the result: it",
	func(commandLine, input string, system *fakeSystem, calls []string, out string) {
		ended := runCommand(system, input, commandLine)
		Expect(ended.err).To(BeEmpty())
		Expect(ended.status).To(Equal(exitOK))
		Expect(ended.out).To(Equal(out))
		Expect(system.calls).To(Equal(calls))
		Expect(system.closed).To(BeTrue())
	},
	Entry("submits a job", "jobs submit - --queue h/p --id 5c0e7a21d94b36f8 --control a:1,b:2", smallJob, &fakeSystem{},
		[]string{"submit h/p 5c0e7a21d94b36f8"}, "5c0e7a21d94b36f8\n"),
	Entry("submits a job and prints JSON", "jobs submit - -o json --queue h/p --id 5c0e7a21d94b36f8 --control a:1", smallJob, &fakeSystem{},
		[]string{"submit h/p 5c0e7a21d94b36f8"}, "{\n  \"id\": \"5c0e7a21d94b36f8\"\n}\n"),
	Entry("reads a job's state", "jobs status 5C0E7A21D94B36F8 --control a:1", "", &fakeSystem{state: "running"},
		[]string{"status 5C0E7A21D94B36F8"}, "running\n"),
	Entry("reads a job's state and prints JSON", "jobs status 5c0e7a21d94b36f8 -o json --control a:1", "", &fakeSystem{state: "failed"},
		[]string{"status 5c0e7a21d94b36f8"}, "{\n  \"id\": \"5c0e7a21d94b36f8\",\n  \"state\": \"failed\"\n}\n"),
	Entry("cancels a job and reads its state", "jobs cancel 5c0e7a21d94b36f8 --control a:1", "", &fakeSystem{state: "cancelled"},
		[]string{"cancel 5c0e7a21d94b36f8", "status 5c0e7a21d94b36f8"}, "cancelled\n"),
	Entry("lists no jobs in JSON", "jobs list -o json --control a:1", "", &fakeSystem{}, []string{"jobs "}, "[]\n"),
	Entry("lists the jobs of a queue", "jobs list --queue h/p --control a:1", "",
		&fakeSystem{jobs: []administration.Job{{ID: "5c0e7a21d94b36f8", Queue: "h/p/", Service: "s", State: "running", Done: 1, Running: 2, Tasks: 4}}},
		[]string{"jobs h/p"},
		"ID                QUEUE  SERVICE  STATE    ACCEPTED              TASKS\n"+
			"5c0e7a21d94b36f8  h/p/   s        running  1970-01-01T00:00:00Z  1/2/4\n"),
	Entry("reads the configuration", "config get --control a:1", "", &fakeSystem{version: 3, body: `{"version":3}`},
		[]string{"read"}, "{\n  \"version\": 3\n}\n"),
	Entry("applies a change to the newest version", "config apply - --control a:1", smallConfiguration, &fakeSystem{version: 4},
		[]string{"read", "configure"}, "version 9 is in force, built on 4\n"),
	Entry("applies a change to the version that --base names", "config apply - --base 3 --control a:1", smallConfiguration, &fakeSystem{version: 4},
		[]string{"configure"}, "version 9 is in force, built on 3\n"),
	Entry("applies a change where there is no version yet", "config apply - --base 0 --control a:1", smallConfiguration, &fakeSystem{version: 4},
		[]string{"configure"}, "version 9 is in force, built on 0\n"),
	Entry("checks an update against the newest configuration", "config check - --control a:1", `{"version":6,"remove":{"routes":[]}}`, &fakeSystem{version: 5, body: smallConfiguration},
		[]string{"read"}, "-: good\n"),
	Entry("compares a file with the newest configuration", "config diff - --control a:1", `{"version":7,"upsert":{"services":[{"name":"t"}]}}`,
		&fakeSystem{version: 5, body: smallConfiguration}, []string{"read"}, "version 5 to 7\n+ services t  {\"name\":\"t\"}\n"),
	Entry("drains a process", "drain b --control a:1", "", &fakeSystem{}, []string{"drain b"}, "b owns nothing any more\n"),
	Entry("lists the runners", "runners --control a:1", "", &fakeSystem{runners: []administration.Runner{{
		Instance: "i-1", Service: "s", Zone: "z", State: "ready", Labels: []string{"k", "r"}, Runs: 2, Distrust: 0.25, HoldMs: 4000,
		Capacity: protocol.Resources{CPU: 8000, MemoryMB: 100, GPU: 1}, Free: protocol.Resources{CPU: 500, MemoryMB: 60},
	}}}, []string{"runners"},
		"INSTANCE  SERVICE  ZONE  STATE  CORES    MEMORY MB  GPU  RUNS  STOPS  FAILURES  LAST SEEN  LEASE  LABELS\n"+
			"i-1       s        z     ready  0.5/8.0  60/100     0/1  2     0      0.25      0s         4s     k,r\n"),
)

var _ = Describe("the commands", func() {
	It("connect to all addresses of --control", func() {
		system := &fakeSystem{}
		runCommand(system, "", "members --control a:1,b:2,,c:3")
		Expect(system.addresses).To(Equal([]string{"a:1", "b:2", "c:3"}))
	})

	It("send a change of the configuration byte for byte", func() {
		system := &fakeSystem{}
		update := ` {"version":6, "remove":{"routes":["r"]}}` + "\n"
		Expect(runCommand(system, update, "config apply - --base 5 --control a:1").status).To(Equal(exitOK))
		Expect(runCommand(system, smallConfiguration, "config apply - --base 5 --control a:1").status).To(Equal(exitOK))
		Expect(system.changes).To(Equal([]configurationChange{{"update", 5, update}, {"replace", 5, smallConfiguration}}))
	})

	It("generate a random id for a job that is submitted without one", func() {
		system := &fakeSystem{}
		first := runCommand(system, smallJob, "jobs submit - --queue h/p --control a:1").out
		second := runCommand(system, smallJob, "jobs submit - --queue h/p --control a:1").out
		Expect(first).To(MatchRegexp("^[0-9a-f]{16}\n$"))
		Expect(second).NotTo(Equal(first))
		Expect(system.submitted.Steps[0].Count).To(Equal(2))
	})

	It("exit with status 1 if 'config diff --exit-code' finds a difference", func() {
		system := &fakeSystem{version: 5, body: smallConfiguration}
		Expect(runCommand(system, smallConfiguration, "config diff - --exit-code --control a:1").status).To(Equal(exitOK))
		other := strings.Replace(smallConfiguration, `"timeoutMs":9`, `"timeoutMs":10`, 1)
		ended := runCommand(system, other, "config diff - --exit-code -o json --control a:1")
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.err).To(BeEmpty())
		Expect(ended.out).To(MatchJSON(`{"from":5,"to":5,"changes":[{"section":"routes","name":"r","change":"changed",
			"fields":[{"name":"timeoutMs","before":9,"after":10}],
			"before":{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":9,"service":"s"},
			"after":{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":10,"service":"s"}}]}`))
	})

	It("print in JSON that a checked file is invalid", func() {
		ended := runCommand(&fakeSystem{}, "{}", "config check - -o json")
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.out).To(MatchJSON(`{"file":"-","valid":false,"fault":"invalid: there is no version"}`))
	})

	It("list all members, including those that do not answer, and fail if one is unhealthy", func() {
		reports := newReports()
		reports[0].DiskSick = true
		ended := runCommand(&fakeSystem{reports: reports}, "", "members --control a:1")
		Expect(ended.out).To(Equal(`NODE  ZONE  ADDRESS        ID  ROLE     STATE         LEADS  UP    DISK       MEMORY
a     z1    10.0.0.1:7380  1   voter    unhealthy     0      1m1s  unhealthy  20 MB
b     z2    10.0.0.2:7380  2   voter    draining      1      5s    0 B        0 B
c     z3    10.0.0.3:7380  3   learner  unresponsive  0      -     -          -
`))
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.err).To(Equal("ospreypond members: a at 10.0.0.1:7380 is unhealthy\n"))
	})

	It("list for each shard how many entries a member lacks, and fail if a shard has no owner", func() {
		ended := runCommand(&fakeSystem{reports: newReports()}, "", "shards --control a:1")
		Expect(ended.out).To(Equal(`SHARD              OWNER  TERM  COMMIT  STATE   LOG    CONTENTS    MEMBERS (APPLIED, LACKING)
0 (configuration)  b      4     40      1200 B  300 B  version 12  a 38, 2; b 40, 0; c (learner) unresponsive
1                  none   2     7       0 B     0 B    -           a 7, 0; b 5, 2; c (learner) unresponsive
`))
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.err).To(ContainSubstring("shard 1 has no owner that answers"))
	})

	It("show which members of a shard are joining or leaving", func() {
		reports := newReports()
		reports[1].Groups[0].Members[0].Change = administration.MemberLeaving
		reports[1].Groups[0].Members[2].Change = administration.MemberJoining
		ended := runCommand(&fakeSystem{reports: reports}, "", "shards --control a:1")
		Expect(ended.out).To(ContainSubstring("a (leaving) 38, 2; b 40, 0; c (learner) (joining) unresponsive"))
		ended = runCommand(&fakeSystem{reports: reports}, "", "shards -o json --control a:1")
		Expect(ended.out).To(ContainSubstring(`"change": "leaving"`))
	})

	It("compare the digests of the members' states, and fail if they differ", func() {
		digests := []administration.ShardDigests{
			{Shard: 0, Index: 40, Members: []administration.MemberDigest{
				{Node: "a", ID: 1, Digest: "00000000000000aa"}, {Node: "b", ID: 2, Digest: "00000000000000aa"}, {Node: "c", ID: 3}}},
			{Shard: 1, Index: 7, Members: []administration.MemberDigest{{Node: "a", ID: 1, Digest: "00000000000000aa"}}},
		}
		ended := runCommand(&fakeSystem{digests: digests}, "", "shards --digests --control a:1")
		Expect(ended.out).To(Equal(`SHARD              INDEX  EQUAL  MEMBERS (DIGEST)
0 (configuration)  40     yes    a 00000000000000aa; b 00000000000000aa; c none at that entry
1                  7      yes    a 00000000000000aa
`))
		Expect(ended.status).To(BeZero())
		digests[0].Members[2].Digest = "00000000000000ab"
		ended = runCommand(&fakeSystem{digests: digests}, "", "shards --digests -o json --control a:1")
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.err).To(ContainSubstring("the members' states of shard 0 differ at entry 40"))
		var printed []administration.ShardDigests
		Expect(json.Unmarshal([]byte(ended.out), &printed)).To(Succeed())
		Expect(printed).To(Equal(digests))
	})

	It("list the shards in JSON", func() {
		ended := runCommand(&fakeSystem{reports: newReports()[1:]}, "", "shards -o json --control a:1")
		var shards []administration.ShardView
		Expect(json.Unmarshal([]byte(ended.out), &shards)).To(Succeed())
		Expect(shards).To(HaveLen(2))
		Expect(shards[0].Owner).To(Equal("b"))
		Expect(shards[0].ConfigurationVersion).To(Equal(uint64(12)))
		Expect(shards[0].Members).To(HaveLen(3))
	})

	It("fail if a drained process still owns shards", func() {
		ended := runCommand(&fakeSystem{remaining: 2}, "", "drain b --control a:1")
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.out).To(Equal("b still owns 2 shards: no other member could take them\n"))
	})

	It("write a backup, restore it into an empty folder only, and verify the folder", func() {
		path := filepath.Join(GinkgoT().TempDir(), "x.backup")
		ended := runCommand(&fakeSystem{backup: newBackup()}, "", "backup --control a:1 "+path)
		Expect(ended.status).To(Equal(exitOK), ended.err)
		Expect(ended.out).To(ContainSubstring(": 5 shards, "))

		dir := filepath.Join(GinkgoT().TempDir(), "data")
		settings := writeTestFile("boot.json", `{"nodeName":"n1","role":"control","ip":"10.0.0.7","zone":"z","internalPorts":[7380,7395],"seeds":[]}`)
		ended = runCommand(&fakeSystem{}, "", "restore "+path+" --settings "+settings+" --dir "+dir)
		Expect(ended.status).To(Equal(exitOK), ended.err)
		Expect(ended.out).To(ContainSubstring("restored into " + dir + " for n1 at 10.0.0.7:7380"))

		ended = runCommand(&fakeSystem{}, "", "state verify "+dir)
		Expect(ended.status).To(Equal(exitOK), ended.out+ended.err)
		Expect(ended.out).To(ContainSubstring("n1"))
		Expect(ended.out).To(HaveSuffix("no faults\n"))

		ended = runCommand(&fakeSystem{}, "", "restore "+path+" --settings "+settings+" --dir "+dir)
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.err).To(ContainSubstring("is not empty"))
	})

	It("report the file and offset of damage, in text and in JSON", func() {
		dir := newStateDir()
		entries, err := os.ReadDir(dir)
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range entries {
			if strings.HasPrefix(entry.Name(), "snapshot-00000002") {
				Expect(os.WriteFile(filepath.Join(dir, entry.Name()), []byte("spoilt"), 0o600)).To(Succeed())
			}
		}
		ended := runCommand(&fakeSystem{}, "", "state inspect "+dir)
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.out).To(MatchRegexp("fault: snapshot-00000002-.*state at offset 0: it is not a snapshot"))
		ended = runCommand(&fakeSystem{}, "", "state verify -o json "+dir)
		Expect(ended.status).To(Equal(exitFailure))
		Expect(ended.out).To(ContainSubstring(`"file": "snapshot-00000002-`))
	})

	It("show help that has an example of each command", func() {
		for _, commandLine := range []string{"config check", "config get", "config apply", "config diff", "jobs submit", "jobs status",
			"jobs cancel", "jobs list", "members", "shards", "runners", "drain", "backup", "restore", "state inspect",
			"state verify"} {
			ended := runCommand(&fakeSystem{}, "", commandLine+" --help")
			Expect(ended.status).To(Equal(exitOK))
			Expect(ended.out).To(ContainSubstring("Examples:\n  "), commandLine)
			Expect(ended.out).To(ContainSubstring("ospreypond "+commandLine), commandLine)
		}
	})
})
