// Package e2e_test drives the binaries as separate processes on loopback.
package e2e_test

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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/cli"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestEndToEnd(t *testing.T) { testkit.Run(t, "separate processes") }

var binaries string

var _ = BeforeSuite(func() {
	binaries = GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", binaries, "../cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

const (
	engines  = 3
	services = 2
	routers  = 3
)

// logBuffer keeps what a process logs. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// process is one started binary.
type process struct {
	cmd *exec.Cmd
	log *logBuffer
}

func (p *process) logged(text string) bool { return strings.Contains(p.log.String(), text) }

func start(name string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(binaries, name), args...), log: &logBuffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	Expect(p.cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

func (p *process) signal(s os.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// fleet is a running system.
type fleet struct {
	dir         string
	base        int // first port
	routers     [routers + 1]*process
	controllers [routers + 1]*process
	client      *cli.Client
}

// freePorts returns the first of n ports in a row that are free now.
func freePorts(n int) int {
	for base := 20000 + os.Getpid()%20000; base < 60000; base += n {
		free := true
		for p := base; p < base+n && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return base
		}
	}
	Fail("no free ports")
	return 0
}

// The offsets of the parts' ports.
const (
	platformPort   = 0
	enginePort     = 1
	servicePort    = 10
	callerPort     = 20
	peerPort       = 30
	adminPort      = 40
	controllerPort = 50
	portsInAll     = 60
)

func (f *fleet) url(offset int) string { return fmt.Sprintf("http://127.0.0.1:%d", f.base+offset) }

func newFleet(fencing bool) *fleet {
	f := &fleet{dir: GinkgoT().TempDir(), base: freePorts(portsInAll)}
	checks := "--no-checks-fencing"
	if fencing {
		checks = "--checks-fencing"
	}
	start("hemlockdyke-standin", "--platform-port", fmt.Sprint(f.base), "--engine-port", fmt.Sprint(f.base+enginePort),
		"--engines", fmt.Sprint(engines), "--service-port", fmt.Sprint(f.base+servicePort), "--services", fmt.Sprint(services),
		"--step", "3ms", checks)
	var servers []string
	for i := 1; i <= routers; i++ {
		servers = append(servers, f.url(controllerPort+i))
	}
	f.client = cli.NewClient(servers)
	Eventually(func() error { return get(f.url(platformPort)+"/counts/platform", nil) }, "10s", "20ms").Should(Succeed())
	for i := 1; i <= routers; i++ {
		f.startController(i)
	}
	for i := 1; i <= routers; i++ {
		f.startRouter(i)
	}
	Eventually(func() error { _, err := f.client.List(resource.KindPool); return err }, "10s", "20ms").Should(Succeed())
	_, err := f.client.Apply("base", f.resources(fencing))
	Expect(err).NotTo(HaveOccurred())
	for i := 1; i <= routers; i++ {
		f.awaitReady(i)
	}
	return f
}

func (f *fleet) peers() string {
	var b strings.Builder
	for i := 1; i <= routers; i++ {
		fmt.Fprintf(&b, "  - {id: %d, address: \"127.0.0.1:%d\", dataCentre: dc%d}\n", i, f.base+peerPort+i, i)
	}
	return b.String()
}

func (f *fleet) write(name, text string) string {
	path := filepath.Join(f.dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (f *fleet) startRouter(i int) {
	f.routers[i] = start("hemlockdyke-router", "--settings", f.write(fmt.Sprintf("router%d.yaml", i), fmt.Sprintf(`
id: %d
dataCentre: dc%d
listen: {callers: "127.0.0.1:%d", peers: "127.0.0.1:%d", admin: "127.0.0.1:%d"}
platform: {url: "%s"}
control: {gossipInterval: 200ms, pollInterval: 500ms, suspectAfter: 1500ms, freshFor: 3s}
shutdown: {balancerLag: 400ms, grace: 20s}
peers:
%s`, i, i, f.base+callerPort+i, f.base+peerPort+i, f.base+adminPort+i, f.url(platformPort), f.peers())))
}

func (f *fleet) startController(i int) {
	f.controllers[i] = start("hemlockdyke-controller", "--settings", f.write(fmt.Sprintf("controller%d.yaml", i), fmt.Sprintf(`
id: %d
listen: "127.0.0.1:%d"
platform: {url: "%s"}
lease: 3s
peers:
%s`, i, f.base+controllerPort+i, f.url(platformPort), f.peers())))
}

func (f *fleet) awaitReady(i int) {
	Eventually(func() error { return get(f.url(callerPort+i)+"/readyz", nil) }, "15s", "20ms").Should(Succeed(),
		func() string { return f.routers[i].log.String() })
}

func res(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}, Spec: []byte(spec)}
}

func (f *fleet) resources(fencing bool) []resource.Resource {
	out := []resource.Resource{
		res(resource.KindPool, "drafting", fmt.Sprintf(`{"protocol":"model","model":"drafter","checksFencing":%t}`, fencing)),
		res(resource.KindPool, "notices", `{"protocol":"service"}`),
		res(resource.KindTeam, "dealers", `{"firstTokenMillis":880,"objectivePercent":95}`),
	}
	for i := range engines {
		out = append(out, res(resource.KindTarget, fmt.Sprintf("engine-%d", i),
			fmt.Sprintf(`{"pool":"drafting","address":"127.0.0.1:%d"}`, f.base+enginePort+i)))
	}
	for i := range services {
		out = append(out, res(resource.KindTarget, fmt.Sprintf("notices-%d", i),
			fmt.Sprintf(`{"pool":"notices","address":"127.0.0.1:%d"}`, f.base+servicePort+i)))
	}
	return out
}

// platformFaults puts faults of the platform's services in force.
func (f *fleet) platformFaults(body string) {
	req, err := http.NewRequest(http.MethodPut, f.url(platformPort)+"/faults/platform", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

func (f *fleet) engine(i int) engine.Status {
	var s engine.Status
	Expect(get(f.url(enginePort+i)+"/status", &s)).To(Succeed())
	return s
}

// revision returns the revision in force at a router, 0 if it does not answer.
func (f *fleet) revision(i int) uint64 {
	var s struct{ Revision uint64 }
	_ = get(f.url(adminPort+i)+"/status", &s)
	return s.Revision
}

func (f *fleet) phase(change string) string {
	d, err := f.client.Get(resource.KindPlannedChange, change)
	if err != nil || d.Status.Change == nil {
		return ""
	}
	return string(d.Status.Change.Phase)
}

func (f *fleet) apply(operation string, r resource.Resource) controller.ApplyResult {
	accepted, err := f.client.Apply(operation, []resource.Resource{r})
	Expect(err).NotTo(HaveOccurred())
	return accepted
}

var client = &http.Client{Timeout: 2 * time.Second}

func get(url string, into any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}
