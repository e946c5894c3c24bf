//go:build review

// Command standin-2 plays the scripted cases of the second review: it starts routers as separate processes,
// with stand-ins for the platform's store, workers and clients, and checks one rule.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// rig holds all that a case starts.
type rig struct {
	trouble  bool
	dir      string
	begin    time.Time
	store    *store
	workers  []*worker
	routers  []*router
	version  int
	ports    [4]int // peers, front, ready, control
	memoryMb int
	zones    []string // of the routers, in turn

	mu     sync.Mutex
	record *os.File
}

// ip returns a loopback address of this run. Its network follows from the process id, so that two runs at
// once don't meet.
func (g *rig) ip(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)&127, pid&255, n)
}

func newRig(recordPath string) *rig {
	f, err := os.Create(recordPath)
	check(err)
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	g := &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, begin: time.Now(), record: f, memoryMb: 284, zones: []string{"hall-a"}}
	for i := range g.ports {
		l, err := net.Listen("tcp", g.ip(1)+":0")
		check(err)
		g.ports[i] = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	g.store = newStore(g.ip(201))
	g.note("trouble=%v", g.trouble)
	return g
}

// note writes a line to the record.
func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%8.3f %s\n", time.Since(g.begin).Seconds(), fmt.Sprintf(format, args...))
}

// stop ends all processes and removes the temporary folder.
func (g *rig) stop() {
	for _, r := range g.routers {
		r.kill()
	}
	for _, w := range g.workers {
		close(w.gone)
		_ = w.listener.Close()
	}
	_ = g.store.server.Close()
	_ = os.RemoveAll(g.dir)
	_ = g.record.Close()
}

// router is a process of the project.
type router struct {
	rig      *rig
	n        int
	settings string
	front    string
	ready    string
	store    *gate
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	log      *os.File
}

// addRouter writes the settings of router n, as DEPLOY.md describes them, and starts it.
func (g *rig) addRouter(n int) *router {
	ip, path := g.ip(n), g.store.newGate(g.ip(201))
	text := fmt.Sprintf(`NodeName = "front-%[11]s-%[1]d"
Role = "router"
MachineClass = "front"
Serves = ["front","control"]
IpAddress = "%[2]s"
Zone = "%[11]s"
Region = "amman"
InternalPortRange = [%[3]d,%[4]d]
Seeds = ["%[5]s:%[6]d"]
FirstStart = true
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[ListenAddresses]
Front = "%[2]s:%[7]d"
Ready = "%[2]s:%[8]d"
Control = "%[2]s:%[6]d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %[10]d
FileDescriptors = 4100
LinkBandwidthMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StabilityWindowMs = 3000
DrainMs = 2000
GracePeriodS = 8
LossSlackMs = 200
ConfigurationMs = 2000
RollbackSlackMs = 250
OuterBoundMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 58
RecoveryS = 12
PassMs = 120
CapacityFactor = 2
[Platform]
Address = "%[9]s"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TransactionMs = 5.0
HistoryS = 20
`, n, ip, g.ports[0], g.ports[0]+1, g.ip(1), g.ports[3], g.ports[1], g.ports[2], path.address, g.memoryMb, g.zones[(n-1)%len(g.zones)])
	r := &router{rig: g, n: n, store: path, settings: filepath.Join(g.dir, fmt.Sprintf("boot-%d.toml", n)), front: fmt.Sprintf("%s:%d", ip, g.ports[1]), ready: fmt.Sprintf("%s:%d", ip, g.ports[2])}
	check(os.WriteFile(r.settings, []byte(text), 0o600))
	g.routers = append(g.routers, r)
	r.start()
	return r
}

// runWords returns the command of the role in the deploy file.
func runWords() []string {
	data, err := os.ReadFile("deploy/system.toml")
	check(err)
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	panic("no run line in deploy/system.toml")
}

func (r *router) start() {
	if r.cmd != nil { // the whole system starts for the first time only once
		text, err := os.ReadFile(r.settings)
		check(err)
		check(os.WriteFile(r.settings, bytes.ReplaceAll(text, []byte("FirstStart = true"), []byte("FirstStart = false")), 0o600))
	}
	words := runWords()
	log, err := os.OpenFile(filepath.Join(r.rig.dir, fmt.Sprintf("router-%d.log", r.n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	r.log = log
	r.cmd = exec.Command(words[0], words[1:]...)
	r.cmd.Env = append(os.Environ(), "HEMLOCKDYKE_NODE_FILE="+r.settings)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(r.cmd.Start())
	r.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(r.cmd, r.done)
	r.rig.note("router %d started", r.n)
}

func (r *router) signal(s syscall.Signal) {
	r.rig.note("router %d gets %v", r.n, s)
	_ = r.cmd.Process.Signal(s)
}

func (r *router) kill() {
	if r.cmd != nil {
		_ = r.cmd.Process.Kill()
		<-r.done
	}
}

func (r *router) hasEnded() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// metric returns the value of one of the router's metrics, -1 if there is none.
func (r *router) metric(name string) float64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:19100/metrics", r.rig.ip(r.n)))
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "hemlockdyke_"+name+" "); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
			if err == nil {
				return f
			}
		}
	}
	return -1
}

// isReady asks the router for its readiness, as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready. Without that a case can't run.
func (g *rig) awaitReady() bool {
	deadline := time.Now().Add(10 * time.Second)
	for _, r := range g.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				g.note("router %d isn't ready", r.n)
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// desired is a desired state for the routers.
type desired map[string]any

// newRoute returns a route as the operators write it.
func newRoute(name, kind, service string, timeoutMs int, more map[string]any) map[string]any {
	out := map[string]any{
		"Name": name, "Host": "ficu95.example", "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 100,
		"Priority": 1, "Service": service, "MaxAttempts": 2, "Public": false, "SessionAffinity": kind == "streaming", "StreamResumption": false, "GapTargetMs": 300,
	}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// writeConfig writes the next version of the desired state.
func (g *rig) writeConfig(d desired) {
	g.version += 3
	d["Version"] = g.version
	if d["Limits"] == nil {
		d["Limits"] = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	}
	g.store.put("op", "config", d)
	g.note("desired state %d confirmed by the store", g.version)
}

func service(name string, connections int) map[string]any {
	return map[string]any{"Name": name, "HealthCheckPath": "/health", "ConnectionLimit": connections, "Protocol": "h1", "Tls": false}
}

func main() {
	name, record := os.Args[1], os.Args[2]
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, record))
}

func runCase(play func(*rig) int, record string) (code int) {
	g := newRig(record)
	defer g.stop()
	defer func() {
		if v := recover(); v != nil {
			g.note("the case could not run: %v", v)
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			code = exitNotRun
		}
	}()
	code = play(g)
	if os.Getenv("KEEP_LOGS") != "" {
		for _, r := range g.routers {
			data, _ := os.ReadFile(filepath.Join(g.dir, fmt.Sprintf("router-%d.log", r.n)))
			_ = os.WriteFile(fmt.Sprintf("%s/router-%d.log", os.Getenv("KEEP_LOGS"), r.n), bytes.TrimSpace(data), 0o600)
		}
	}
	g.note("exit %d", code)
	return code
}
