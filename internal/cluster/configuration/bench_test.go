package configuration

import (
	"fmt"
	"runtime"
	"testing"

	"ospreypond/internal/cluster/failure"
)

// stateWithRoutes returns a state with version 1, which has that many routes.
func stateWithRoutes(b *testing.B, routes int) *State {
	b.Helper()
	state := NewState()
	if result := state.Execute(replace(0, configurationOf(1, manyRoutes(routes)...))); result.Kind != failure.None {
		b.Fatal(result.Message)
	}
	return state
}

func BenchmarkUpdateOneRoute(b *testing.B) {
	for _, routes := range []int{400, 20000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			state := stateWithRoutes(b, routes)
			version := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				route := aRoute("r-00005", "moved.example", fmt.Sprintf("/v%d/", version), "a")
				body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, version+1, route)
				if result := state.Execute(update(version, body)); result.Kind != failure.None {
					b.Fatal(result.Message)
				}
				version++
			}
		})
	}
}

func BenchmarkReplace(b *testing.B) {
	for _, routes := range []int{400, 20000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			body := configurationOf(1, manyRoutes(routes)...)
			b.ReportAllocs()
			for b.Loop() {
				NewState().Execute(replace(0, body))
			}
		})
	}
}

func BenchmarkReplaceOneOfMany(b *testing.B) {
	state := stateWithRoutes(b, 400)
	version := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		routes := manyRoutes(400)
		routes[7] = aRoute("r-00007", "h", fmt.Sprintf("/v%d/", version), "a")
		if result := state.Execute(replace(version, configurationOf(int(version+1), routes...))); result.Kind != failure.None {
			b.Fatal(result.Message)
		}
		version++
	}
}

func BenchmarkLookup(b *testing.B) {
	table := stateWithRoutes(b, 20000).Document().Table()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := table.Lookup("host4.example:80", "/p11/5c0e7a21d94b36f8"); !ok {
			b.Fatal("not found")
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	state := stateWithRoutes(b, 20000)
	for version := uint64(1); version <= maxAcceptedCommands; version++ {
		state.Execute(emptyUpdate(version))
	}
	var data []byte
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			data, _ = state.Snapshot()
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	})
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := NewState().Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkWatchFromNothing measures the cost of sending a complete document to a follower: its encoding at the owner,
// which is done once for each version, and its decoding at the follower. heap-bytes is the memory of the follower's
// document.
func BenchmarkWatchFromNothing(b *testing.B) {
	state := stateWithRoutes(b, 20000)
	var data []byte
	b.Run("owner", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			state.recent.encodedFeeds = nil
			data, _ = state.Since(0, true)
		}
		b.ReportMetric(float64(len(data)), "message-bytes")
	})
	b.Run("follower", func(b *testing.B) {
		b.ReportAllocs()
		var document *Document
		before := heapInUse()
		for b.Loop() {
			document, _ = Decode(data)
		}
		b.ReportMetric(float64(heapInUse()-before), "heap-bytes")
		runtime.KeepAlive(document)
	})
}

// heapInUse returns the bytes of reachable objects on the heap.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
