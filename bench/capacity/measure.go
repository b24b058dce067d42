package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime is what the process has used so far, the garbage collector included. Other programs on the machine
// make it somewhat larger, by the caches that they share, and never a multiple.
func processorTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Nano())
}

// heapBytes is what lives on the heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// allocations counts what was allocated so far, in bytes and pieces.
func allocations() (bytes, pieces uint64) {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc, stats.Mallocs
}

// profiled runs f, and writes a processor profile of it if a file is given.
func profiled(path string, f func() error) error {
	if path == "" {
		return f()
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return f()
}

// table prints rows under heads, as Markdown.
type table struct{ heads []string }

func (t *table) begin() {
	fmt.Printf("| %s |\n|%s\n", strings.Join(t.heads, " | "), strings.Repeat(" ---: |", len(t.heads)))
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		switch value := cell.(type) {
		case float64:
			texts[i] = significant(value)
		default:
			texts[i] = fmt.Sprint(value)
		}
	}
	fmt.Printf("| %s |\n", strings.Join(texts, " | "))
}

// significant prints a number with three digits that count.
func significant(value float64) string {
	switch {
	case value >= 100:
		return fmt.Sprintf("%.0f", value)
	case value >= 10:
		return fmt.Sprintf("%.1f", value)
	case value >= 1:
		return fmt.Sprintf("%.2f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}

func microseconds(d time.Duration, count int) float64 {
	if count == 0 {
		return 0
	}
	return d.Seconds() * 1e6 / float64(count)
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
