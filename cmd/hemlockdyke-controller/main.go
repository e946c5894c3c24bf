// Command hemlockdyke-controller serves the resource API to operators and executes planned
// changes.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hemlockdyke/hemlockdyke/internal/daemon"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/logging"
	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

func main() {
	app := kingpin.New("hemlockdyke-controller", "Serves the resource API and executes planned changes.")
	path := app.Flag("settings", "Path of the settings file.").Required().String()
	check := app.Flag("check-settings", "Print the effective settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s := settings.DefaultController()
	app.FatalIfError(settings.LoadFile(*path, &s), "settings")
	if *check {
		app.FatalIfError(settings.Print(os.Stdout, s), "settings")
		return
	}
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log := eventlog.New(logging.New(out, s.Log.Level, "controller", s.ID), time.Now)
	log.FlushWith(out.Flush)
	controller, err := daemon.StartController(s, log)
	app.FatalIfError(err, "start")
	daemon.RunUntilStopped(controller, log)
}
