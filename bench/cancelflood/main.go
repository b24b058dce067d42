// Command cancelflood measures what cancels of unknown jobs cost a running `localcluster`: it submits jobs at one frontend at
// a steady rate while clients cancel random IDs at the other frontend, each as fast as it gets its answers. It prints the
// submissions' latency without and with the cancels, and the cancels per second by status.
//
//	go run ./cmd/localcluster --dir DIR --network 127.77.0 &
//	go run ./bench/cancelflood --network 127.77.0 --clients 64 --seconds 10
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	queue          = "/jobs/"
	job            = `{"spec":"sleep 10ms","steps":[{"count":1,"cpu":10,"memoryLimitMb":1}]}`
	requestTimeout = 5 * time.Second
)

// answer is the response to one request.
type answer struct {
	status  int // 0: none
	latency time.Duration
}

// load is a part of the measurement: submissions, and cancels if there are clients that send them.
type load struct {
	network     string
	submitRate  int // submissions per second
	clients     int // that cancel random IDs
	duration    time.Duration
	mutex       sync.Mutex
	submissions []answer
	cancels     []answer
}

func main() {
	network := flag.String("network", "127.77.0", "first three numbers of the addresses of `localcluster`")
	clients := flag.Int("clients", 64, "clients that cancel random IDs")
	rate := flag.Int("submissions", 50, "submissions per second")
	seconds := flag.Int("seconds", 10, "seconds of each part, at most 60")
	flag.Parse()
	if *seconds < 1 || *seconds > 60 || *clients < 1 || *clients > 1000 || *rate < 1 || *rate > 1000 {
		fmt.Fprintln(os.Stderr, "cancelflood: --seconds must be 1 to 60, --clients and --submissions 1 to 1000")
		os.Exit(2)
	}
	duration := time.Duration(*seconds) * time.Second
	for _, part := range []*load{
		{network: *network, submitRate: *rate, duration: duration},
		{network: *network, submitRate: *rate, duration: duration, clients: *clients},
	} {
		part.run()
		part.print()
	}
}

// run sends the requests of one part and waits for their answers.
func (l *load) run() {
	ctx, cancel := context.WithTimeout(context.Background(), l.duration)
	defer cancel()
	var group sync.WaitGroup
	for range l.clients {
		group.Go(func() {
			client := newClient()
			for ctx.Err() == nil {
				l.record(&l.cancels, l.request(ctx, client, 2, http.MethodDelete, ""))
			}
		})
	}
	ticker := time.NewTicker(time.Second / time.Duration(l.submitRate))
	defer ticker.Stop()
	submitter := newClient()
	for ctx.Err() == nil {
		<-ticker.C
		group.Go(func() { l.record(&l.submissions, l.request(ctx, submitter, 1, http.MethodPost, job)) })
	}
	group.Wait()
}

func newClient() *http.Client {
	const connections = 256 // more than requests at one time
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
}

// request sends a request about a job with a random ID to a frontend, 1 or 2. It waits for the answer also after ctx has
// ended.
func (l *load) request(ctx context.Context, client *http.Client, frontend int, method, body string) answer {
	url := fmt.Sprintf("http://%s.%d:8149%s%016x", l.network, 20+frontend, queue, rand.Uint64())
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), method, url, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = "demo.local"
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return answer{latency: time.Since(began)}
	}
	_, _ = io.Copy(io.Discard, response.Body) // an incomplete body doesn't matter: only the status is counted
	_ = response.Body.Close()
	return answer{response.StatusCode, time.Since(began)}
}

func (l *load) record(answers *[]answer, one answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	*answers = append(*answers, one)
}

func (l *load) print() {
	fmt.Printf("%d clients that cancel\n", l.clients)
	l.printAnswers("submissions", l.submissions)
	l.printAnswers("cancels", l.cancels)
}

// printAnswers prints the rate and the latencies of the answers, by status.
func (l *load) printAnswers(name string, answers []answer) {
	byStatus := map[int][]time.Duration{}
	for _, a := range answers {
		byStatus[a.status] = append(byStatus[a.status], a.latency)
	}
	for status, latencies := range byStatus {
		slices.Sort(latencies)
		quantile := func(q float64) time.Duration {
			return latencies[int(q*float64(len(latencies)-1))].Round(100 * time.Microsecond)
		}
		fmt.Printf("  %-11s %3d: %8.1f a second, p50 %v, p99 %v, max %v\n", name, status,
			float64(len(latencies))/l.duration.Seconds(), quantile(0.5), quantile(0.99), quantile(1))
	}
}
