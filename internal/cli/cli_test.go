package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/operatorhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/cli"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// fakeController serves the resource API with one team.
type fakeController struct {
	applied []operatorhttp.ApplyRequest
	refuse  int // result code with which changes are refused; 0 accepts them
}

func (a *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reply := func(v any) { _ = json.NewEncoder(w).Encode(v) }
	fail := func(status, number int) {
		w.WriteHeader(status)
		reply(wire.ErrorBody{Error: wire.ErrorDetail{Code: number, Message: "refused"}})
	}
	switch {
	case r.URL.Path == "/v1/resources/Team/known":
		reply(operatorhttp.DescribedResource{Resource: resource.Resource{
			Kind: resource.KindTeam, Spec: []byte(`{"weight":2}`),
			Metadata: resource.Metadata{Name: "known", Generation: 3, ResourceVersion: 41},
		}})
	case strings.HasPrefix(r.URL.Path, "/v1/resources/"):
		fail(404, 5003)
	case r.URL.Path == "/v1/apply" && a.refuse != 0:
		fail(409, a.refuse)
	case r.URL.Path == "/v1/apply":
		var req operatorhttp.ApplyRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		a.applied = append(a.applied, req)
		reply(controller.ApplyResult{
			Operation:     resource.Operation{Name: req.Operation, Revision: 42},
			RolloutStatus: controller.RolloutStatus{Revision: 42, Applied: 2, Listed: 3, Behind: []uint32{3}},
		})
	default:
		fail(404, 1007)
	}
}

var _ = Describe("hemlockctl", func() {
	// Guards against help that ends with "6002 bad_usage" and exit code 2, since kingpin goes on
	// parsing after it has printed the help.
	DescribeTable("prints only the help and succeeds",
		func(args ...string) {
			var out, errOut bytes.Buffer
			Expect(cli.Run(args, &out, &errOut)).To(Equal(cli.ExitOK))
			Expect(out.String()).To(HavePrefix("usage: hemlockctl"))
			Expect(errOut.String()).To(BeEmpty())
		},
		Entry("of all commands", "--help"), Entry("of one command", "explain", "--help"), Entry("by the help command", "help", "explain"),
		Entry("of a command that requires arguments", "apply", "--help"), Entry("of a report", "report", "burn", "--help"),
	)

	var server *fakeController
	var servers []string

	BeforeEach(func() {
		server = &fakeController{}
		s := httptest.NewServer(server)
		DeferCleanup(s.Close)
		// The first controller can't be reached, so the client uses the second one.
		servers = []string{"--server", "http://127.0.0.1:1", "--server", s.URL}
	})

	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		exit := cli.Run(append(servers, args...), &out, &errOut)
		return exit, out.String(), errOut.String()
	}

	writeFile := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "f.yaml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("applies with the version that it read and prints how many routers have applied the change", func() {
		exit, out, _ := run("apply", "--operation", "op", "-f", writeFile("kind: Team\nmetadata: {name: known}\nspec: {weight: 5}\n---\nkind: Team\nmetadata: {name: fresh}\nspec: {}\n"))
		Expect(exit).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("applied at 2 of 3 routers"))
		Expect(out).To(ContainSubstring("[3]"))
		Expect(server.applied).To(HaveLen(1))
		Expect(server.applied[0].Operation).To(Equal("op"))
		Expect(server.applied[0].Resources[0].Metadata.ResourceVersion).To(Equal(uint64(41)))
		Expect(server.applied[0].Resources[1].Metadata.ResourceVersion).To(BeZero())
	})

	It("sends nothing if no resource differs", func() {
		exit, out, _ := run("apply", "-f", writeFile("kind: Team\nmetadata: {name: known}\nspec: {weight: 2}\n"))
		Expect(exit).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("unchanged"))
		Expect(server.applied).To(BeEmpty())
	})

	It("prints the same field names as JSON and YAML", func() {
		_, asJSON, _ := run("-o", "json", "get", "team", "known")
		Expect(asJSON).To(ContainSubstring(`"resourceVersion": 41`))
		_, asYAML, _ := run("-o", "yaml", "get", "team", "known")
		Expect(asYAML).To(ContainSubstring("resourceVersion: 41"))
	})

	DescribeTable("exits with a different code for each kind of failure",
		func(refuse int, wantExit int) {
			server.refuse = refuse
			exit, _, errOut := run("apply", "-f", writeFile("kind: Team\nmetadata: {name: fresh}\nspec: {}\n"))
			Expect(exit).To(Equal(wantExit))
			Expect(errOut).NotTo(BeEmpty())
		},
		Entry("conflict", 5002, cli.ExitConflict),
		Entry("outcome unknown", 4002, cli.ExitOutcomeUnknown),
		Entry("store down", 5004, cli.ExitFailed),
	)

	DescribeTable("refuses invalid files without sending anything",
		func(text string, want string) {
			exit, _, errOut := run("apply", "-f", writeFile(text))
			Expect(exit).To(Equal(cli.ExitUsage))
			Expect(errOut).To(ContainSubstring(want))
			Expect(server.applied).To(BeEmpty())
		},
		Entry("unknown field", "kind: Team\nmetadata: {name: a}\nspec: {wieght: 1}\n", "wieght"),
		Entry("unknown kind", "kind: Tema\nmetadata: {name: a}\nspec: {}\n", "kind"),
		Entry("no name", "kind: Team\nspec: {}\n", "metadata.name"),
		Entry("misspelt key", "kind: Team\nmetdata: {name: a}\n", "metdata"),
		Entry("not YAML", "kind: [", "5001"),
		Entry("empty", "", "no resources"),
	)

	It("refuses unknown commands", func() {
		exit, _, errOut := run("aply")
		Expect(exit).To(Equal(cli.ExitUsage))
		Expect(errOut).To(ContainSubstring("6002"))
	})

	It("explains a request from log files", func() {
		file := filepath.Join(GinkgoT().TempDir(), "router.log")
		line := `{"router":"front-a-1","event":"finished","request":"r1","status":500,"time":"2026-04-21T22:03:05Z"}`
		Expect(os.WriteFile(file, []byte(line), 0o600)).To(Succeed())
		var out, errOut bytes.Buffer
		Expect(cli.Run([]string{"explain", "r1", file}, &out, &errOut)).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(ContainSubstring("cause: the answer with status 500 is the target's own"))
		Expect(cli.Run([]string{"explain", "r1", "no-such-file"}, &out, &errOut)).To(Equal(cli.ExitFailed))
		Expect(cli.Run([]string{"explain"}, &out, &errOut)).To(Equal(cli.ExitUsage))
	})
})
