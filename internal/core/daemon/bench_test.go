package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/fake/local"
	"fuchsiahoist.example/hoist/internal/peer/caller"
	"fuchsiahoist.example/hoist/internal/peer/exec"
)

// post sends a request, checks that the status is 200 and discards the answer.
func post(b *testing.B, client *http.Client, url string, body []byte, headers ...string) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v", resp.StatusCode, err)
	}
}

// cpuTime returns the processor time of this process, which includes daemons, stand-ins
// and client.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var benchKey atomic.Int64

// BenchmarkRequest compares a request through the daemons with a direct call to the
// executor. It reports p50-us and p99-us of a sequence of requests, and cpu-us/op of the
// whole process.
func BenchmarkRequest(b *testing.B) {
	for _, hosts := range []int{0, 1, 3} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := start(b, local.Options{Hosts: max(hosts, 1), DrainTime: time.Second})
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			for _, size := range []int{100, 10_000, 100_000} {
				body := bytes.Repeat([]byte("b"), size)
				b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchRequests(b, c, client, hosts, body) })
			}
		})
	}
}

// benchRequests sends requests to the hosts in turn, or to an executor if hosts is 0.
func benchRequests(b *testing.B, c *local.Cell, client *http.Client, hosts int, body []byte) {
	latencies := make([]time.Duration, 0, 1<<16)
	b.ReportAllocs()
	cpu := cpuTime()
	for b.Loop() {
		n := benchKey.Add(1)
		key := fmt.Sprintf("bench-%d", n)
		sentAt := time.Now()
		if hosts == 0 {
			post(b, client, c.ExecURLs[0]+"/v1/run", body,
				exec.HeaderTerm, fmt.Sprint(c.Execs[0].Term()), exec.HeaderKey, key, exec.HeaderAttempt, "1")
		} else {
			post(b, client, c.URLs[int(n)%hosts]+"/v1/requests/s", body,
				caller.HeaderKey, key, caller.HeaderCustomer, "c", caller.HeaderClass, string(hoist.Quick))
		}
		latencies = append(latencies, time.Since(sentAt))
	}
	cpu = cpuTime() - cpu
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(cpu.Microseconds())/float64(len(latencies)), "cpu-us/op")
}

// BenchmarkOpenWatch measures the memory of open watches in the daemon, the executor's
// stand-in and the client together. The daemon opens at most 24 connections to each of the
// two executors.
func BenchmarkOpenWatch(b *testing.B) {
	for _, n := range []int{10, 20, 40} {
		b.Run(fmt.Sprintf("watches=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(openWatches(b, n), "B/watch")
			}
		})
	}
}

// openWatches opens n watches at the same time and returns the bytes in use per watch.
func openWatches(b *testing.B, n int) float64 {
	release := make(chan struct{})
	c := start(b, local.Options{Hosts: 1, Slots: 64, DrainTime: time.Second, ServiceTime: func(key hoist.RequestKey) time.Duration {
		if key[0] == 'w' {
			<-release
		}
		return 0
	}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	before := memory()
	var open sync.WaitGroup
	for i := range n {
		open.Go(func() {
			post(b, client, c.URLs[0]+"/v1/requests/s", nil, caller.HeaderKey, fmt.Sprintf("w%d", i),
				caller.HeaderCustomer, "c", caller.HeaderClass, string(hoist.Watch), caller.HeaderTimeout, "3600000")
		})
	}
	waitFor(b, "watches", func() bool {
		running := 0
		for _, e := range c.Execs {
			for key := range e.Runs() {
				if key[0] == 'w' {
					running++
				}
			}
		}
		return running == n
	})
	bytesPerWatch := float64(memory()-before) / float64(n)
	close(release)
	open.Wait()
	return bytesPerWatch
}

// memory returns the bytes of heap and stacks in use.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
