package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	serviceName = "work-1"
	hostName    = "jobs.example"
	prefix      = "/q1/"
)

// program is what the deploy file runs.
const program = "target/hoistfront"

// cell is a small deployment: the platform's store, executors, and entry hosts as
// processes of their own.
type cell struct {
	log   *record
	book  *book
	store *store
	gangs gangs
	dir   string

	executors []*executor
	hosts     []*host
	client    http.Client
	next      int
	stopped   chan struct{}
	servers   []*http.Server
}

// host is one entry host.
type host struct {
	name  string
	front string
	// settings is the path of its settings file.
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newCell(log *record) (*cell, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cell{
		log: log, book: newBook(log), store: newStore(log), gangs: gangs{byRun: make(map[string]*gang)}, dir: dir, stopped: make(chan struct{}),
	}
	c.client.Timeout = 3 * time.Second
	return c, nil
}

// start starts the store, the executors and the hosts, and waits until the hosts are
// ready and one of them polls the executors.
func (c *cell) start(executors, hosts int) error {
	for i := range executors {
		e, err := newExecutor(c, fmt.Sprintf("i-%08x", 0x7f3a9100+i), fmt.Sprintf("r1-%d", 1+i/8))
		if err != nil {
			return err
		}
		c.executors = append(c.executors, e)
	}
	return c.startHosts(hosts)
}

func (c *cell) startHosts(hosts int) error {
	c.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": hostName, "prefix": prefix, "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 1200, "priority": 1,
			"service": serviceName, "max-attempts": 4, "stretch": 2.2,
		}},
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 64, "enforces-capacity": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: c.store}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	for _, e := range c.executors {
		e.register()
	}
	go c.heartbeats()
	subnet := freeSubnet()
	for i := range hosts {
		if err := c.startHost(i, subnet, l.Addr().String()); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// heartbeats writes the entries of the executors, and removes those of executors that
// have been silent for three intervals.
func (c *cell) heartbeats() {
	silent := make(map[*executor]int)
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(heartbeat):
		}
		for _, e := range c.executors {
			e.mu.Lock()
			isSilent := !e.isUp || e.isCutFromStore
			e.mu.Unlock()
			if !isSilent {
				silent[e] = 0
				e.register()
				continue
			}
			if silent[e]++; silent[e] == 3 {
				c.store.drop("servers", e.id)
				c.log.printf("store: the entry of %s is removed", e.id)
			}
		}
	}
}

// metricsPort is the port of deploy/system.toml, at the address of each host.
const metricsPort = "9464"

// freeSubnet returns the first three bytes of loopback addresses that no other run uses.
func freeSubnet() string {
	pid := os.Getpid()
	for i := 0; ; i++ {
		subnet := fmt.Sprintf("127.%d.%d", 20+(pid/200+i)%100, 1+pid%200)
		l, err := net.Listen("tcp", subnet+".1:"+metricsPort)
		if err == nil {
			_ = l.Close()
			return subnet
		}
	}
}

func (c *cell) startHost(i int, subnet, storeAddr string) error {
	ip := fmt.Sprintf("%s.%d", subnet, i+1)
	h := &host{name: fmt.Sprintf("front-z-%d", i+1), front: ip + ":8161"}
	settings := map[string]any{
		"node": h.name, "role": "entry", "machine-class": "front", "serves": []string{"front"}, "ip": ip, "zone": "z-1", "region": "r",
		"zones": map[string]string{"z-1": "r"}, "listen": map[string]string{"front": h.front, "ready": ip + ":8167"},
		"internal-ports": []int{7720, 7735}, "seeds": []string{}, "bootstrap": true, "counts-as-loss": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000, "recover-s": 12, "hold-max-ms": 10000,
			"stop-ms": 400, "gang-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far-x": 2,
			"save-s": 1, "restore-ms": 100, "require-fencing": true, "lease-ms": 3000,
		},
		"orders": "call",
		"platform": map[string]any{
			"address": storeAddr, "form": "table", "writes-per-s": 800, "reads-per-s": 2000, "tx-ms": 3.0, "partition-writes-s": 300,
			"row-bytes": rowBytes, "across": true, "history-s": 20,
		},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(c.dir, h.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	h.settings = path
	c.hosts = append(c.hosts, h)
	return c.run(h)
}

// run starts the process of a host.
func (c *cell) run(h *host) error {
	out, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "FUCHSIAHOIST_CONFIG="+h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	h.cmd, h.ended = cmd, ended
	c.log.printf("%s: started", h.name)
	return nil
}

// signal sends a signal to the process of a host.
func (c *cell) signal(h *host, s syscall.Signal) {
	c.log.printf("%s: signal %s", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// awaitReady waits until every host serves and each executor has seen a fence.
func (c *cell) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range c.hosts {
			if status, _, err := c.call(h, http.MethodGet, "", nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		fenced := 0
		for _, e := range c.executors {
			e.mu.Lock()
			if e.fence > 0 {
				fenced++
			}
			e.mu.Unlock()
		}
		if ready == len(c.hosts) && fenced == len(c.executors) {
			c.log.printf("all hosts serve, and all executors are polled")
			return nil
		}
	}
	return fmt.Errorf("the hosts do not serve")
}

// close ends all processes and servers that this program started.
func (c *cell) close() {
	close(c.stopped)
	for _, h := range c.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, e := range c.executors {
		_ = e.server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range c.hosts {
			_ = os.Rename(filepath.Join(c.dir, h.name+".log"), filepath.Join(keep, h.name+".log"))
		}
	}
	_ = os.RemoveAll(c.dir)
}

// call sends one request to a host.
func (c *cell) call(h *host, method, id string, body any) (int, string, error) {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, "", err
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, "http://"+h.front+prefix+id, in)
	if err != nil {
		return 0, "", err
	}
	req.Host = hostName
	req.Header.Set("Deadline", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(out), err
}

// retry calls one host after the other until one answers with one of the wanted
// statuses, or the time is over.
func (c *cell) retry(limit time.Duration, method, id string, body any, want ...int) (int, string, error) {
	var last error
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		h := c.hosts[c.next%len(c.hosts)]
		c.next++
		status, out, err := c.call(h, method, id, body)
		c.log.printf("client: %s %s at %s -> %d %s %v", method, id, h.name, status, out, errText(err))
		if err == nil && slices.Contains(want, status) {
			return status, out, nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("status %d", status)
		}
	}
	return 0, "", fmt.Errorf("%s %s: %w", method, id, last)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// submit hands a job in until it is accepted.
func (c *cell) submit(j *job) error {
	c.book.add(j)
	_, _, err := c.retry(10*time.Second, http.MethodPost, j.ID, j, http.StatusOK)
	return err
}

// state returns the state of a job, or "gone" if it does not exist.
func (c *cell) state(id string) (string, error) {
	status, out, err := c.retry(10*time.Second, http.MethodGet, id, nil, http.StatusOK, http.StatusGone)
	if err != nil {
		return "", err
	}
	if status == http.StatusGone {
		return "gone", nil
	}
	var s struct {
		State string `json:"state"`
	}
	err = json.Unmarshal([]byte(out), &s)
	return s.State, err
}

// proxy forwards the connections to one executor. While it is cut, open connections are
// reset and new ones are refused.
type proxy struct {
	target string
	addr   string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// newProxy puts a proxy before an executor.
func newProxy(e *executor) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: e.addr, addr: l.Addr().String(), listener: l, conns: make(map[net.Conn]bool)}
	e.public = p.addr
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

// forward forwards one connection until one of its sides ends.
func (p *proxy) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	forwardTo := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go forwardTo(out, in)
	go forwardTo(in, out)
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, in)
	delete(p.conns, out)
}

// cut cuts the executor off.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// heal ends the cut.
func (p *proxy) heal() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}
