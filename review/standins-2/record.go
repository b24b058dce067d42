package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its beginning.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		abort("%v", err)
	}
	return &record{file: file, began: time.Now()}
}

func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// logLines are the lines of a control process's log that the record keeps: changes of leaders, panics and errors.
var logLines = regexp.MustCompile(`owns the shard|no longer owns|panic|fatal|level=error|goroutine `)

// addLog adds at most 60 lines of a process's log.
func (r *record) addLog(name, log string) {
	var kept []string
	for _, line := range strings.Split(log, "\n") {
		if logLines.MatchString(line) {
			kept = append(kept, line)
		}
	}
	r.add("log of %s: %d lines about leaders and errors, the last ones:", name, len(kept))
	for _, line := range kept[max(0, len(kept)-60):] {
		r.add("  %s: %s", name, line)
	}
}

// abort ends the script with 2: the case couldn't run.
func abort(format string, arguments ...any) {
	fmt.Printf("the case couldn't run: "+format+"\n", arguments...)
	for _, s := range systems {
		s.stop()
	}
	os.Exit(2)
}

// systems are the systems that were started.
var systems []*system

func check(err error) {
	if err != nil {
		abort("%v", err)
	}
}

func must[T any](value T, err error) T {
	check(err)
	return value
}
