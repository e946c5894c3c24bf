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

// api plays a controller that holds one team.
type api struct {
	applied []operatorhttp.ApplyRequest
	refuse  int // the code to refuse changes with
}

func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := func(v any) { _ = json.NewEncoder(w).Encode(v) }
	fail := func(status, number int) {
		w.WriteHeader(status)
		answer(wire.ErrorBody{Error: wire.ErrorDetail{Code: number, Message: "refused"}})
	}
	switch {
	case r.URL.Path == "/v1/resources/Team/known":
		answer(operatorhttp.DescribedResource{Resource: resource.Resource{
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
		answer(controller.Accepted{
			Operation: resource.Operation{Name: req.Operation, Revision: 42},
			InForce:   controller.InForce{Revision: 42, Routers: 2, Listed: 3, Behind: []uint32{3}},
		})
	default:
		fail(404, 1007)
	}
}

var _ = Describe("hemlockctl", func() {
	// Symptom: a page of help ends with "6002 bad_usage", and exits 2. Sequence: the library prints the page
	// and goes on parsing, as nothing ended the process. Cause: nobody asked whether it had.
	DescribeTable("prints help as a result, and nothing else",
		func(args ...string) {
			var out, errOut bytes.Buffer
			Expect(cli.Run(args, &out, &errOut)).To(Equal(cli.ExitOK))
			Expect(out.String()).To(HavePrefix("usage: hemlockctl"))
			Expect(errOut.String()).To(BeEmpty())
		},
		Entry("of all commands", "--help"), Entry("of one", "explain", "--help"), Entry("by the command", "help", "explain"),
		Entry("of one that needs arguments", "apply", "--help"), Entry("of a report", "report", "burn", "--help"),
	)

	var played *api
	var servers []string

	BeforeEach(func() {
		played = &api{}
		s := httptest.NewServer(played)
		DeferCleanup(s.Close)
		// The first controller can't be reached; the next one is tried.
		servers = []string{"--server", "http://127.0.0.1:1", "--server", s.URL}
	})

	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		exit := cli.Run(append(servers, args...), &out, &errOut)
		return exit, out.String(), errOut.String()
	}

	file := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "f.yaml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("applies with the version that it read, and says where the change is in force", func() {
		exit, out, _ := run("apply", "--operation", "op", "-f", file("kind: Team\nmetadata: {name: known}\nspec: {weight: 5}\n---\nkind: Team\nmetadata: {name: fresh}\nspec: {}\n"))
		Expect(exit).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("in force at 2 of 3 routers"))
		Expect(out).To(ContainSubstring("[3]"))
		Expect(played.applied).To(HaveLen(1))
		Expect(played.applied[0].Operation).To(Equal("op"))
		Expect(played.applied[0].Resources[0].Metadata.ResourceVersion).To(Equal(uint64(41)))
		Expect(played.applied[0].Resources[1].Metadata.ResourceVersion).To(BeZero())
	})

	It("sends nothing when nothing differs", func() {
		exit, out, _ := run("apply", "-f", file("kind: Team\nmetadata: {name: known}\nspec: {weight: 2}\n"))
		Expect(exit).To(Equal(cli.ExitOK))
		Expect(out).To(ContainSubstring("unchanged"))
		Expect(played.applied).To(BeEmpty())
	})

	It("prints the same fields as JSON and YAML", func() {
		_, asJSON, _ := run("-o", "json", "get", "team", "known")
		Expect(asJSON).To(ContainSubstring(`"resourceVersion": 41`))
		_, asYAML, _ := run("-o", "yaml", "get", "team", "known")
		Expect(asYAML).To(ContainSubstring("resourceVersion: 41"))
	})

	DescribeTable("exits with a code that scripts can tell apart",
		func(refuse int, want int) {
			played.refuse = refuse
			exit, _, errOut := run("apply", "-f", file("kind: Team\nmetadata: {name: fresh}\nspec: {}\n"))
			Expect(exit).To(Equal(want))
			Expect(errOut).NotTo(BeEmpty())
		},
		Entry("conflict", 5002, cli.ExitConflict),
		Entry("outcome unknown", 4002, cli.ExitOutcomeUnknown),
		Entry("store down", 5004, cli.ExitFailed),
	)

	DescribeTable("refuses bad files before it sends anything",
		func(text string, want string) {
			exit, _, errOut := run("apply", "-f", file(text))
			Expect(exit).To(Equal(cli.ExitUsage))
			Expect(errOut).To(ContainSubstring(want))
			Expect(played.applied).To(BeEmpty())
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
