package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{f: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	os.Exit(2)
}

// row is a row of the store.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      []byte `json:",omitempty"`
	RowVersion uint64
	Removed    bool `json:",omitempty"`
}

// store is the platform's metadata store: tables of rows, a feed of changes, atomic transactions.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row // by table and key
	history []row
	changed chan struct{}
	start   time.Time
	address string
}

func newStore() *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), start: time.Now(), version: 100}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/rows-get", s.get)
	mux.HandleFunc("/rows-feed", s.feed)
	mux.HandleFunc("/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// put writes a row as the operator or a worker does; a nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(table, key, value)
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(table, key string, value any) {
	r := row{Table: table, Key: key, RowVersion: s.version}
	switch v := value.(type) {
	case nil:
		r.Removed = true
		delete(s.rows, table+"/"+key)
	case []byte:
		r.Value = v
	default:
		r.Value, _ = json.Marshal(v)
	}
	if !r.Removed {
		s.rows[table+"/"+key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"Rows": rows, "HasMore": more, "RowVersion": version, "NowMs": time.Since(s.start).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, row := range s.rows {
		if row.Table == q.Get("Table") && row.Key >= q.Get("From") {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, 200, out, more, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		var out []row
		for _, row := range s.history {
			if row.Table == q.Get("Table") && row.RowVersion > after {
				out = append(out, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			s.reply(w, 200, out, false, version)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.reply(w, 200, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(400)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	ok := true
	for _, e := range t.Expected {
		have := s.rows[e.Table+"/"+e.Key]
		if have.RowVersion != 0 {
			current = append(current, have)
		}
		ok = ok && have.RowVersion == e.RowVersion
	}
	if !ok {
		s.reply(w, 412, current, false, s.version)
		return
	}
	s.version++
	for _, p := range t.Puts {
		s.set(p.Table, p.Key, p.Value)
	}
	for _, p := range t.Remove {
		s.set(p.Table, p.Key, nil)
	}
	s.notify()
	s.reply(w, 200, nil, false, s.version)
}

// worker entries

type entry struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	ColdRemainingMs                 int
	Seq                             int
}

// router is one process of the deploy file's role, with its machine's address.
type router struct {
	name, ip, front, ready string
	settings               string
	memoryMb               int
	log                    *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

type machine struct {
	store      *store
	dir        string
	ips        []string
	memoryMb   int
	repository string
}

// settingsText is the settings file of one machine, as DEPLOY.md describes it.
func (m *machine) settingsText(i int, firstStart bool) string {
	ip := m.ips[i]
	var seeds []string
	for _, s := range m.ips[:min(3, len(m.ips))] {
		seeds = append(seeds, strconv.Quote(s+":8229"))
	}
	return fmt.Sprintf(`NodeName = "front-hall-a-%d"
Role = "router"
MachineClass = "front"
Serves = ["front","control"]
IpAddress = "%s"
Zone = "hall-a"
Region = "amman"
InternalPortRange = [7340,7355]
Seeds = [%s]
FirstStart = %t
CountedForTolerance = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[Zones]
hall-a = "amman"
[ListenAddresses]
Front = "%s:8227"
Ready = "%s:8220"
Control = "%s:8229"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
FileDescriptors = 4100
LinkBandwidthMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StabilityWindowMs = 3000
ReceiptMs = 4000
CatchUpS = 4
DrainMs = 2000
GracePeriodS = 8
LossSlackMs = 200
ConfigurationMs = 2000
RollbackSlackMs = 250
OuterBoundMs = 5000
StrictRevocation = false
RevocationMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 58
RecoveryS = 12
PassMs = 120
ReuseWindowS = 10
CapacityFactor = 2
[Platform]
Address = "%s"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TransactionMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
`, i+1, ip, strings.Join(seeds, ","), firstStart, ip, ip, ip, m.memoryMb, m.store.address)
}

func (m *machine) newRouter(i int) *router {
	r := &router{name: fmt.Sprintf("front-hall-a-%d", i+1), ip: m.ips[i], front: m.ips[i] + ":8227", ready: m.ips[i] + ":8220", memoryMb: m.memoryMb}
	r.settings = filepath.Join(m.dir, r.name+".toml")
	f, err := os.Create(filepath.Join(m.dir, r.name+".log"))
	if err != nil {
		cannotRun("log: %v", err)
	}
	r.log = f
	return r
}

// start starts the process. The working directory is the repository's root, as on the platform.
func (m *machine) start(i int, r *router, firstStart bool) {
	if err := os.WriteFile(r.settings, []byte(m.settingsText(i, firstStart)), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	cmd := exec.Command("target/hemlockdyke-router", "--platform")
	cmd.Dir = m.repository
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEMLOCKDYKE_NODE_FILE=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("router: %v", err)
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	go func() { _ = cmd.Wait(); close(exited) }()
}

func (r *router) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

func (r *router) signal(s syscall.Signal) { _ = syscall.Kill(r.pid(), s) }

func (r *router) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + r.ready + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func waitReady(routers []*router, timeout time.Duration) {
	end := time.Now().Add(timeout)
	for _, r := range routers {
		for !r.isReady() {
			if time.Now().After(end) {
				cannotRun("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// residentKB is the memory of a process, as the machine's limit counts it.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := bytes.Cut(data, []byte("VmRSS:"))
	if !ok {
		return 0
	}
	fields := strings.Fields(string(rest[:min(len(rest), 40)]))
	n, _ := strconv.Atoi(fields[0])
	return n
}
