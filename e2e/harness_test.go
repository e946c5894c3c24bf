// Package e2e_test runs the binaries as separate processes on loopback and tests them together.
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

// binaries is the directory of the built binaries.
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

// logBuffer collects the log of a process. It is safe for concurrent use.
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

// process is one started binary with its log.
type process struct {
	cmd *exec.Cmd
	log *logBuffer
}

func (p *process) hasLogged(text string) bool { return strings.Contains(p.log.String(), text) }

// startProcess starts a binary. When the spec ends, the process gets SIGCONT, so that a stopped one
// ends too, and SIGKILL.
func startProcess(name string, args ...string) *process {
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

func (p *process) sendSignal(s os.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// fleet is a running system of routers, controllers and stand-ins.
type fleet struct {
	dir         string
	firstPort   int
	routers     [routers + 1]*process // by ID, from 1
	controllers [routers + 1]*process // by ID, from 1
	client      *cli.Client
}

// freePorts returns the first of n consecutive ports that are free.
func freePorts(n int) int {
	for firstPort := 20000 + os.Getpid()%20000; firstPort < 60000; firstPort += n {
		free := true
		for p := firstPort; p < firstPort+n && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return firstPort
		}
	}
	Fail("no free ports")
	return 0
}

// The port offsets of the processes within a fleet. Several processes of a kind use consecutive
// ports.
const (
	platformPort   = 0
	enginePort     = 1
	servicePort    = 10
	callerPort     = 20
	peerPort       = 30
	adminPort      = 40
	controllerPort = 50
	portCount      = 60
)

func (f *fleet) url(offset int) string { return fmt.Sprintf("http://127.0.0.1:%d", f.firstPort+offset) }

// newFleet starts a fleet and waits until its routers are ready. checksFencing makes the engines
// check fencing tokens.
func newFleet(checksFencing bool) *fleet {
	f := &fleet{dir: GinkgoT().TempDir(), firstPort: freePorts(portCount)}
	fencingFlag := "--no-checks-fencing"
	if checksFencing {
		fencingFlag = "--checks-fencing"
	}
	startProcess("hemlockdyke-standin", "--platform-port", fmt.Sprint(f.firstPort), "--engine-port", fmt.Sprint(f.firstPort+enginePort),
		"--engines", fmt.Sprint(engines), "--service-port", fmt.Sprint(f.firstPort+servicePort), "--services", fmt.Sprint(services),
		"--step", "3ms", fencingFlag)
	var servers []string
	for i := 1; i <= routers; i++ {
		servers = append(servers, f.url(controllerPort+i))
	}
	f.client = cli.NewClient(servers)
	Eventually(func() error { return getJSON(f.url(platformPort)+"/counts/platform", nil) }, "10s", "20ms").Should(Succeed())
	for i := 1; i <= routers; i++ {
		f.startController(i)
	}
	for i := 1; i <= routers; i++ {
		f.startRouter(i)
	}
	Eventually(func() error { _, err := f.client.List(resource.KindPool); return err }, "10s", "20ms").Should(Succeed())
	_, err := f.client.Apply("base", f.resources(checksFencing))
	Expect(err).NotTo(HaveOccurred())
	for i := 1; i <= routers; i++ {
		f.awaitReady(i)
	}
	return f
}

// peersYAML returns the peers section of a settings file.
func (f *fleet) peersYAML() string {
	var b strings.Builder
	for i := 1; i <= routers; i++ {
		fmt.Fprintf(&b, "  - {id: %d, address: \"127.0.0.1:%d\", dataCentre: dc%d}\n", i, f.firstPort+peerPort+i, i)
	}
	return b.String()
}

// writeFile writes a file to the directory of the fleet and returns its path.
func (f *fleet) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (f *fleet) startRouter(i int) {
	f.routers[i] = startProcess("hemlockdyke-router", "--settings", f.writeFile(fmt.Sprintf("router%d.yaml", i), fmt.Sprintf(`
id: %d
dataCentre: dc%d
listen: {callers: "127.0.0.1:%d", peers: "127.0.0.1:%d", admin: "127.0.0.1:%d"}
platform: {url: "%s"}
control: {gossipInterval: 200ms, pollInterval: 500ms, suspectAfter: 1500ms, freshFor: 3s}
shutdown: {balancerLag: 400ms, grace: 20s}
peers:
%s`, i, i, f.firstPort+callerPort+i, f.firstPort+peerPort+i, f.firstPort+adminPort+i, f.url(platformPort), f.peersYAML())))
}

func (f *fleet) startController(i int) {
	f.controllers[i] = startProcess("hemlockdyke-controller", "--settings", f.writeFile(fmt.Sprintf("controller%d.yaml", i), fmt.Sprintf(`
id: %d
listen: "127.0.0.1:%d"
platform: {url: "%s"}
lease: 3s
peers:
%s`, i, f.firstPort+controllerPort+i, f.url(platformPort), f.peersYAML())))
}

// awaitReady waits until a router is ready and fails with its log otherwise.
func (f *fleet) awaitReady(i int) {
	Eventually(func() error { return getJSON(f.url(callerPort+i)+"/readyz", nil) }, "15s", "20ms").Should(Succeed(),
		func() string { return f.routers[i].log.String() })
}

// newResource returns a resource without status.
func newResource(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Kind: kind, Metadata: resource.Metadata{Name: name}, Spec: []byte(spec)}
}

// resources returns the initial configuration of the fleet.
func (f *fleet) resources(checksFencing bool) []resource.Resource {
	out := []resource.Resource{
		newResource(resource.KindPool, "drafting", fmt.Sprintf(`{"protocol":"model","model":"drafter","checksFencing":%t}`, checksFencing)),
		newResource(resource.KindPool, "notices", `{"protocol":"service"}`),
		newResource(resource.KindTeam, "dealers", `{"firstTokenMillis":880,"objectivePercent":95}`),
	}
	for i := range engines {
		out = append(out, newResource(resource.KindTarget, fmt.Sprintf("engine-%d", i),
			fmt.Sprintf(`{"pool":"drafting","address":"127.0.0.1:%d"}`, f.firstPort+enginePort+i)))
	}
	for i := range services {
		out = append(out, newResource(resource.KindTarget, fmt.Sprintf("notices-%d", i),
			fmt.Sprintf(`{"pool":"notices","address":"127.0.0.1:%d"}`, f.firstPort+servicePort+i)))
	}
	return out
}

// setPlatformFaults sets the faults of the platform's services.
func (f *fleet) setPlatformFaults(body string) {
	req, err := http.NewRequest(http.MethodPut, f.url(platformPort)+"/faults/platform", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

// engineStatus returns the status of an engine.
func (f *fleet) engineStatus(i int) engine.Status {
	var s engine.Status
	Expect(getJSON(f.url(enginePort+i)+"/status", &s)).To(Succeed())
	return s
}

// appliedRevision returns the configuration revision that a router has applied, or 0 if the router
// does not answer.
func (f *fleet) appliedRevision(i int) uint64 {
	var s struct{ Revision uint64 }
	_ = getJSON(f.url(adminPort+i)+"/status", &s)
	return s.Revision
}

// phase returns the phase of a planned change, or an empty string if it is not known.
func (f *fleet) phase(change string) string {
	d, err := f.client.Get(resource.KindPlannedChange, change)
	if err != nil || d.Status.Change == nil {
		return ""
	}
	return string(d.Status.Change.Phase)
}

// apply applies one resource as an operation and expects success.
func (f *fleet) apply(operation string, r resource.Resource) controller.ApplyResult {
	accepted, err := f.client.Apply(operation, []resource.Resource{r})
	Expect(err).NotTo(HaveOccurred())
	return accepted
}

var client = &http.Client{Timeout: 2 * time.Second}

// getJSON decodes the JSON body at a URL into result, unless result is nil.
func getJSON(url string, result any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}
