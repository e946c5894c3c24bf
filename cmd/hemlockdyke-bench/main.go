// Command hemlockdyke-bench measures: load against a running fleet, experiments
// with routing policies, and the slopes behind docs/CAPACITY.md.
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
	cmd := app.Command("load", "Drive a running fleet and check every answer.")
	s := load.Settings{}
	cmd.Flag("router", "Base URL of a router.").Required().StringsVar(&s.RouterURLs)
	cmd.Flag("engine", "Base URL of a stand-in engine.").Required().StringsVar(&s.EngineURLs)
	cmd.Flag("service", "Base URL of the stand-in service.").Required().StringVar(&s.ServiceURL)
	cmd.Flag("team", "Team.").Required().StringsVar(&s.Teams)
	cmd.Flag("model", "Model.").Required().StringVar(&s.Model)
	cmd.Flag("pool", "Service pool.").Required().StringVar(&s.ServicePool)
	cmd.Flag("chats", "Number of chats.").Default("60").IntVar(&s.Chats)
	cmd.Flag("turns", "Turns of each chat.").Default("6").IntVar(&s.TurnsPerChat)
	cmd.Flag("parallel", "Chats at a time.").Default("24").IntVar(&s.ConcurrentChats)
	cmd.Flag("pause", "Mean pause between turns.").Default("100ms").DurationVar(&s.MeanPause)
	cmd.Flag("seed", "Seed.").Default("1").Uint64Var(&s.Seed)
	limit := cmd.Flag("limit", "Longest run.").Default("50s").Duration()

	exp := app.Command("experiment", "Compare routing policies on the same simulated traffic.")
	only := exp.Flag("scenario", "Run only this scenario.").String()
	onlyPolicy := exp.Flag("policy", "Run only policies whose names start with this.").String()
	seeds := exp.Flag("seeds", "Number of seeds.").Default("5").Uint64()

	spread := app.Command("spread", "Measure how fast a change is in force everywhere, and at what cost.")
	spreadSeeds := spread.Flag("seeds", "Number of seeds.").Default("3").Uint64()
	spreadRouters := spread.Flag("routers", "Fleet size; may be repeated.").Default("9", "40", "120", "340").Ints()

	get := app.Command("get", "Print what a URL answers, waiting until it answers 200.")
	getURL := get.Arg("url", "URL.").Required().String()
	getWait := get.Flag("wait", "How long to wait.").Default("10s").Duration()

	slopes := app.Command("capacity", "Measure the slopes behind docs/CAPACITY.md.")

	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case cmd.FullCommand():
		app.FatalIfError(runLoad(s, *limit), "load")
	case exp.FullCommand():
		runExperiment(*only, *onlyPolicy, *seeds)
	case get.FullCommand():
		app.FatalIfError(load.FetchWhenOK(os.Stdout, *getURL, *getWait), "get")
	case slopes.FullCommand():
		app.FatalIfError(capacity.Run(os.Stdout), "capacity")
	case spread.FullCommand():
		runSpread(*spreadRouters, *spreadSeeds)
	}
}

// runExperiment prints a line per run and a summary per policy. Each run is
// independent of the others and the same for the same seed.
func runExperiment(only, onlyPolicy string, seeds uint64) {
	for _, s := range experiment.Scenarios() {
		if only != "" && s.Name != only {
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

// runSpread prints a line per fleet size, state of the store and seed.
func runSpread(sizes []int, seeds uint64) {
	for _, routers := range sizes {
		for _, down := range []bool{false, true} {
			for _, loss := range []float64{0, 0.05} {
				for seed := range seeds {
					experiment.RunSpread(experiment.SpreadSettings{
						Routers: routers, Changes: 40, ChangeInterval: 8 * time.Second, PushedRouters: controller.PushTo,
						HasStoreOutage: down, LossRate: loss, Seed: seed + 1,
					}).Print(os.Stdout)
				}
			}
		}
	}
}
