// Command scenario plays the scripts of this review: it starts the project's programs as separate processes on loopback
// addresses, with stand-ins for runners, clients and the operator, and judges what these have seen. Its arguments are the
// name of a case and the path of the record. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run. With TROUBLE=0 it plays the case without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(rec *record, trouble bool) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		abort("usage: scenario CASE RECORD")
	}
	rec := newRecord(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		abort("interrupted")
	}()
	go func() {
		time.Sleep(116 * time.Second)
		abort("the case took too long")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](rec, trouble)
	for _, s := range systems {
		s.stop()
	}
	for _, line := range broken {
		rec.add("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
}

// begin starts a system.
func begin(l layout, rec *record, routes string) *system {
	s := newSystem(l, rec)
	systems = append(systems, s)
	s.startAll(routes)
	return s
}

// route returns a route of the configuration.
func route(name, host, prefix, service string, priority int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":3000,`+
		`"priority":%d,"service":%q,"maxAttempts":3,"extension":2.2}`, name, host, prefix, priority, service)
}
