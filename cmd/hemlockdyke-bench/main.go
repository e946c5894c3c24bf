// Command hemlockdyke-bench measures: load against a running fleet, experiments
// with routing policies, and the slopes behind docs/CAPACITY.md.
package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hemlockdyke/hemlockdyke/internal/load"
)

func main() {
	app := kingpin.New("hemlockdyke-bench", "Measures a hemlockdyke fleet.")
	cmd := app.Command("load", "Drive a running fleet and check every answer.")
	s := load.Settings{}
	cmd.Flag("router", "Base URL of a router.").Required().StringsVar(&s.Routers)
	cmd.Flag("engine", "Base URL of a stand-in engine.").Required().StringsVar(&s.Engines)
	cmd.Flag("service", "Base URL of the stand-in service.").Required().StringVar(&s.Service)
	cmd.Flag("team", "Team.").Required().StringsVar(&s.Teams)
	cmd.Flag("model", "Model.").Required().StringVar(&s.Model)
	cmd.Flag("pool", "Service pool.").Required().StringVar(&s.Pool)
	cmd.Flag("chats", "Number of chats.").Default("60").IntVar(&s.Chats)
	cmd.Flag("turns", "Turns of each chat.").Default("6").IntVar(&s.Turns)
	cmd.Flag("parallel", "Chats at a time.").Default("24").IntVar(&s.Parallel)
	cmd.Flag("pause", "Mean pause between turns.").Default("100ms").DurationVar(&s.Pause)
	cmd.Flag("seed", "Seed.").Default("1").Uint64Var(&s.Seed)
	limit := cmd.Flag("limit", "Longest run.").Default("50s").Duration()

	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case cmd.FullCommand():
		app.FatalIfError(runLoad(s, *limit), "load")
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
	if report.Failed() {
		os.Exit(1)
	}
	return nil
}
