// Command hemlockdyke-bench drives load against a running fleet, compares routing policies in a
// simulation, and measures the resource use that docs/CAPACITY.md extrapolates from.
package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/capacity"
	"github.com/hemlockdyke/hemlockdyke/internal/experiment"
	"github.com/hemlockdyke/hemlockdyke/internal/load"
)

func main() {
	app := kingpin.New("hemlockdyke-bench", "Measures a hemlockdyke fleet.")
	loadCmd := app.Command("load", "Send load to a running fleet and check every answer.")
	s := load.Settings{}
	loadCmd.Flag("router", "Base URL of a router; may be repeated.").Required().StringsVar(&s.RouterURLs)
	loadCmd.Flag("engine", "Base URL of a stand-in engine; may be repeated.").Required().StringsVar(&s.EngineURLs)
	loadCmd.Flag("service", "Base URL of the stand-in service.").Required().StringVar(&s.ServiceURL)
	loadCmd.Flag("team", "Team that requests are sent for; may be repeated.").Required().StringsVar(&s.Teams)
	loadCmd.Flag("model", "Model that chats ask for.").Required().StringVar(&s.Model)
	loadCmd.Flag("pool", "Pool of the stand-in service.").Required().StringVar(&s.ServicePool)
	loadCmd.Flag("chats", "Number of chats.").Default("60").IntVar(&s.Chats)
	loadCmd.Flag("turns", "Number of turns of each chat.").Default("6").IntVar(&s.TurnsPerChat)
	loadCmd.Flag("parallel", "Number of concurrent chats.").Default("24").IntVar(&s.ConcurrentChats)
	loadCmd.Flag("pause", "Mean time between two turns of a chat.").Default("100ms").DurationVar(&s.MeanThinkTime)
	loadCmd.Flag("seed", "Seed of the random numbers.").Default("1").Uint64Var(&s.Seed)
	limit := loadCmd.Flag("limit", "Time limit of the run.").Default("50s").Duration()

	experimentCmd := app.Command("experiment", "Compare routing policies on the same simulated traffic.")
	onlyScenario := experimentCmd.Flag("scenario", "Run only this scenario.").String()
	onlyPolicy := experimentCmd.Flag("policy", "Run only policies whose names start with this prefix.").String()
	seeds := experimentCmd.Flag("seeds", "Number of seeds.").Default("5").Uint64()

	spreadCmd := app.Command("spread", "Measure how long a configuration change takes until all routers have applied it, and the messages this needs.")
	spreadSeeds := spreadCmd.Flag("seeds", "Number of seeds.").Default("3").Uint64()
	spreadRouters := spreadCmd.Flag("routers", "Fleet size; may be repeated.").Default("9", "40", "120", "340").Ints()

	getCmd := app.Command("get", "Request a URL until it answers with status 200, then print the body.")
	getURL := getCmd.Arg("url", "URL.").Required().String()
	getWait := getCmd.Flag("wait", "Time limit.").Default("10s").Duration()

	capacityCmd := app.Command("capacity", "Measure the resource use that docs/CAPACITY.md extrapolates from.")

	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case loadCmd.FullCommand():
		app.FatalIfError(runLoad(s, *limit), "load")
	case experimentCmd.FullCommand():
		runExperiment(*onlyScenario, *onlyPolicy, *seeds)
	case getCmd.FullCommand():
		app.FatalIfError(load.FetchWhenOK(os.Stdout, *getURL, *getWait), "get")
	case capacityCmd.FullCommand():
		app.FatalIfError(capacity.Run(os.Stdout), "capacity")
	case spreadCmd.FullCommand():
		runSpread(*spreadRouters, *spreadSeeds)
	}
}

// runExperiment prints one line per run and a summary per policy. Runs are independent of each
// other, and a run gives the same result for the same seed.
func runExperiment(onlyScenario, onlyPolicy string, seeds uint64) {
	for _, s := range experiment.Scenarios() {
		if onlyScenario != "" && s.Name != onlyScenario {
			continue
		}
		for _, p := range experiment.Policies() {
			if !strings.HasPrefix(p.Name, onlyPolicy) {
				continue
			}
			results := make([]experiment.Result, seeds)
			var runs sync.WaitGroup
			for i := range results {
				runs.Go(func() { results[i] = experiment.Run(s, p, uint64(i)+1) })
			}
			runs.Wait()
			for _, r := range results {
				r.Print(os.Stdout)
			}
			experiment.PrintSummary(os.Stdout, results)
		}
	}
}

// runLoad prints the report of a load. It ends the process with status 1 if the report has
// failures.
func runLoad(s load.Settings, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	report, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(report); err != nil {
		return err
	}
	if report.HasFailures() {
		os.Exit(1)
	}
	return nil
}

// runSpread prints one line for each combination of fleet size, store outage, loss rate and seed.
func runSpread(sizes []int, seeds uint64) {
	for _, routers := range sizes {
		for _, storeOutage := range []bool{false, true} {
			for _, lossRate := range []float64{0, 0.05} {
				for seed := range seeds {
					experiment.RunSpread(experiment.SpreadSettings{
						Routers: routers, Changes: 40, ChangeInterval: 8 * time.Second, PushedRouters: controller.PushFanout,
						HasStoreOutage: storeOutage, LossRate: lossRate, Seed: seed + 1,
					}).Print(os.Stdout)
				}
			}
		}
	}
}
