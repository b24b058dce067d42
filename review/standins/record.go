package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: one line for each thing that was sent, answered, run or done to a process.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) at() time.Duration { return time.Since(r.began) }

func (r *record) log(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.at().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
