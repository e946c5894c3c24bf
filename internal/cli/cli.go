package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gopkg.in/yaml.v3"

	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
)

// Exit codes of hemlockctl.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitConflict       = 3
	ExitOutcomeUnknown = 4 // it is not known whether a change was accepted
)

// App is one invocation of hemlockctl.
type App struct {
	out    io.Writer
	errOut io.Writer // for errors and warnings
	client *Client
	output string // format: table, json or yaml
}

// Run executes the command in args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	app := kingpin.New("hemlockctl", "Declares the resources of a hemlockdyke fleet and shows their state.")
	// By default kingpin exits the process after it has printed help. With this Terminate
	// function it goes on parsing. Its later errors must be ignored.
	helpPrinted := false
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(int) { helpPrinted = true })
	servers := app.Flag("server", "Base URL of a controller; may be repeated.").
		Envar("HEMLOCKCTL_SERVER").Default("http://127.0.0.1:7301").Strings()
	output := app.Flag("output", "table, json or yaml.").Short('o').Default("table").Enum("table", "json", "yaml")
	a := &App{out: out, errOut: errOut}
	commands := a.commands(app)
	selected, err := app.Parse(args)
	if helpPrinted {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, code.New(code.BadUsage, "%s", err))
		return ExitUsage
	}
	a.client, a.output = NewClient(*servers), *output
	if err := commands[selected](); err != nil {
		fmt.Fprintln(errOut, err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	var coded *code.Error
	if !errors.As(err, &coded) {
		return ExitFailed
	}
	switch coded.Code {
	case code.Conflict:
		return ExitConflict
	case code.ChangeUnknown:
		return ExitOutcomeUnknown
	case code.BadUsage, code.BadResource:
		return ExitUsage
	}
	return ExitFailed
}

// commands declares the commands and returns the function that executes each, by full command
// name.
func (a *App) commands(app *kingpin.Application) map[string]func() error {
	apply := app.Command("apply", "Create or change the resources of a file.")
	file := apply.Flag("file", "YAML file, - for standard input.").Short('f').Required().String()
	operation := apply.Flag("operation", "Name of the operation. A retry with the same name does not apply the change twice.").String()

	get := app.Command("get", "List the resources of a kind, or show one.")
	getKind, getName := kindArg(get), get.Arg("name", "Name.").String()

	describe := app.Command("describe", "Show one resource with its status.")
	describeKind, describeName := kindArg(describe), describe.Arg("name", "Name.").Required().String()

	remove := app.Command("delete", "Delete a resource.")
	removeKind, removeName := kindArg(remove), remove.Arg("name", "Name.").Required().String()

	drain := app.Command("drain", "Plan the drain of a target.")
	drainTarget := drain.Arg("target", "Target.").Required().String()

	watch := app.Command("watch", "Print changes as they are accepted.")
	after := watch.Flag("after", "Revision to start after.").Default("0").Uint64()
	count := watch.Flag("count", "Stop after this many changes; 0 means never.").Default("0").Int()

	op := app.Command("operation", "Show the outcome of an operation.")
	opName := op.Arg("name", "Name.").Required().String()

	report := app.Command("report", "Reports.")
	burnReport := report.Command("burn", "Show how fast teams use up their error budgets.")
	htmlPath := burnReport.Flag("html", "Also write an HTML page with plots to this file.").String()
	metricsURLs := burnReport.Flag("metrics", "Metrics URL of a router on the platform, used instead of a controller; may be repeated.").Strings()
	objective := burnReport.Flag("objective", "Percentage of requests that must meet the objective of their route; only with --metrics.").
		Default("99").Float64()

	explain := app.Command("explain", "Explain the outcome of a request from routers' logs, or show the ranking of a pool's targets for a chat.")
	pool, team, chat := explain.Flag("pool", "Pool.").String(), explain.Flag("team", "Team.").String(), explain.Flag("chat", "Chat.").String()
	request := explain.Arg("request", "Id of a request.").String()
	logs := explain.Arg("logs", "Log files of routers; standard input if none are given.").Strings()

	return map[string]func() error{
		apply.FullCommand():      func() error { return a.apply(*file, *operation) },
		get.FullCommand():        func() error { return a.get(*getKind, *getName) },
		describe.FullCommand():   func() error { return a.describe(*describeKind, *describeName) },
		remove.FullCommand():     func() error { return a.remove(*removeKind, *removeName) },
		drain.FullCommand():      func() error { return a.drain(*drainTarget) },
		watch.FullCommand():      func() error { return a.watch(*after, *count) },
		op.FullCommand():         func() error { return a.operation(*opName) },
		burnReport.FullCommand(): func() error { return a.burn(*htmlPath, *metricsURLs, *objective) },
		explain.FullCommand(): func() error {
			if *request != "" {
				return a.explainRequest(*request, *logs)
			}
			return a.explain(*pool, *team, *chat)
		},
	}
}

// kindArg declares the argument for the kind of a resource, in lower case.
func kindArg(cmd *kingpin.CmdClause) *string {
	names := make([]string, 0, len(resource.Kinds()))
	for _, k := range resource.Kinds() {
		names = append(names, strings.ToLower(string(k)))
	}
	return cmd.Arg("kind", strings.Join(names, ", ")+".").Required().Enum(names...)
}

// kindOf returns the kind with a name in any case.
func kindOf(name string) resource.Kind {
	for _, k := range resource.Kinds() {
		if strings.EqualFold(string(k), name) {
			return k
		}
	}
	return resource.Kind(name)
}

// apply sends the resources of a file that differ from the existing ones. It fills in the
// versions of existing resources. A concurrent change by another operator then causes a conflict
// and is not overwritten.
func (a *App) apply(file, operation string) error {
	resources, err := ReadResourceFile(file)
	if err != nil {
		return err
	}
	var changed []resource.Resource
	for _, r := range resources {
		old, err := a.client.Get(r.Kind, r.Metadata.Name)
		if err != nil && !isCode(err, code.NoSuchResource) {
			return err
		}
		if err == nil && sameSpec(old.Spec, r.Spec) {
			fmt.Fprintf(a.out, "%s/%s unchanged\n", r.Kind, r.Metadata.Name)
			continue
		}
		if r.Metadata.ResourceVersion == 0 {
			r.Metadata.ResourceVersion = old.Metadata.ResourceVersion
		}
		changed = append(changed, r)
	}
	if len(changed) == 0 {
		return nil
	}
	return a.applyResources(operation, changed)
}

func isCode(err error, c code.Code) bool {
	var coded *code.Error
	return errors.As(err, &coded) && coded.Code == c
}

func sameSpec(x, y json.RawMessage) bool {
	var vx, vy any
	return json.Unmarshal(x, &vx) == nil && json.Unmarshal(y, &vy) == nil && reflect.DeepEqual(vx, vy)
}

// applyResources sends a change and prints its outcome. If operation is empty, it generates a
// name.
func (a *App) applyResources(operation string, resources []resource.Resource) error {
	if operation == "" {
		operation = uuid.NewString()
	}
	accepted, err := a.client.Apply(operation, resources)
	if err != nil {
		return err
	}
	return a.print(accepted, func(w io.Writer) {
		for _, r := range resources {
			fmt.Fprintf(w, "%s/%s\taccepted\n", r.Kind, r.Metadata.Name)
		}
		printAccepted(w, accepted)
	})
}

func printAccepted(w io.Writer, accepted controller.ApplyResult) {
	fmt.Fprintf(w, "revision %d\tapplied at %d of %d routers\n",
		accepted.Operation.Revision, accepted.RolloutStatus.Applied, accepted.RolloutStatus.Listed)
	if len(accepted.RolloutStatus.Behind) > 0 {
		fmt.Fprintf(w, "behind\trouters %v\n", accepted.RolloutStatus.Behind)
	}
	fmt.Fprintf(w, "operation\t%s\n", accepted.Operation.Name)
}

func (a *App) get(kind, name string) error {
	if name != "" {
		return a.describe(kind, name)
	}
	list, err := a.client.List(kindOf(kind))
	if err != nil {
		return err
	}
	return a.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tGENERATION\tVERSION\tSPEC")
		for _, r := range list {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", r.Metadata.Name, r.Metadata.Generation, r.Metadata.ResourceVersion, r.Spec)
		}
	})
}

func (a *App) describe(kind, name string) error {
	d, err := a.client.Get(kindOf(kind), name)
	if err != nil {
		return err
	}
	return a.print(d, func(w io.Writer) {
		fmt.Fprintf(w, "kind\t%s\nname\t%s\ngeneration\t%d (observed %d)\nversion\t%d\nspec\t%s\n",
			d.Kind, d.Metadata.Name, d.Metadata.Generation, d.Status.ObservedGeneration, d.Metadata.ResourceVersion, d.Spec)
		for _, c := range d.Status.Conditions {
			fmt.Fprintf(w, "condition\t%s=%s (%s)\n", c.Type, c.Status, c.Reason)
		}
		if d.Status.Applied != nil && len(d.Status.Applied.Behind) > 0 {
			fmt.Fprintf(w, "behind\trouters %v\n", d.Status.Applied.Behind)
		}
		if d.Status.Change != nil {
			fmt.Fprintf(w, "phase\t%s: %s\n", d.Status.Change.Phase, d.Status.Change.Message)
		}
	})
}

func (a *App) remove(kind, name string) error {
	old, err := a.client.Get(kindOf(kind), name)
	if err != nil {
		return err
	}
	old.Deleted = true
	return a.applyResources("", []resource.Resource{old.Resource})
}

func (a *App) drain(target string) error {
	old, err := a.client.Get(resource.KindTarget, target)
	if err != nil {
		return err
	}
	spec, err := json.Marshal(resource.PlannedChangeSpec{Target: target, Action: resource.ActionDrain})
	if err != nil {
		return errors.Wrap(err, "encode planned change")
	}
	// The name contains the target's version. A second drain of an unchanged target is then the
	// same planned change, and a drain after a change of the target is a new one.
	name := fmt.Sprintf("drain-%s-%d", target, old.Metadata.ResourceVersion)
	return a.applyResources("", []resource.Resource{{
		Kind: resource.KindPlannedChange, Metadata: resource.Metadata{Name: name}, Spec: spec,
	}})
}

// watch prints changes after a revision until it has printed count changes, or forever if count
// is 0.
func (a *App) watch(after uint64, count int) error {
	printed := 0
	for count == 0 || printed < count {
		changes, err := a.client.Watch(after)
		if err != nil {
			return err
		}
		for _, ch := range changes {
			after = ch.Revision
			printed++
			err := a.print(ch, func(w io.Writer) {
				for _, r := range ch.Resources {
					fmt.Fprintf(w, "%d\t%s/%s\tdeleted=%t\t%s\n", ch.Revision, r.Kind, r.Metadata.Name, r.Deleted, r.Spec)
				}
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *App) operation(name string) error {
	accepted, err := a.client.Operation(name)
	if err != nil {
		return err
	}
	return a.print(accepted, func(w io.Writer) { printAccepted(w, accepted) })
}

// explain prints the ranking of a pool's targets for a chat.
func (a *App) explain(pool, team, chat string) error {
	if pool == "" || team == "" || chat == "" {
		return code.New(code.BadUsage, "explain requires the id of a request, or --pool, --team and --chat")
	}
	e, err := a.client.Explain(pool, team, chat)
	if err != nil {
		return err
	}
	return a.print(e, func(w io.Writer) {
		fmt.Fprintf(w, "pool\t%s at revision %d\nowner\trouter %s while it is live\norder\t%s\n",
			e.Pool, e.Revision, e.Owner, strings.Join(e.Order, ", "))
		if len(e.Leaving) > 0 {
			fmt.Fprintf(w, "leaving\t%s\n", strings.Join(e.Leaving, ", "))
		}
	})
}

// print writes v as JSON or YAML, or calls table to write it as text.
func (a *App) print(v any, table func(io.Writer)) error {
	switch a.output {
	case "json":
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "yaml":
		return a.printYAML(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printYAML writes v as YAML. It converts v to JSON first, which gives both formats the same
// field names.
func (a *App) printYAML(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	var plain any
	if err := yaml.Unmarshal(data, &plain); err != nil {
		return errors.Wrap(err, "encode output")
	}
	return yaml.NewEncoder(a.out).Encode(plain)
}
