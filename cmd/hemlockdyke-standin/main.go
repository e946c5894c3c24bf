// Command hemlockdyke-standin stands in for the platform and the targets in
// tests and in the demo.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/service"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/table"
)

func main() {
	app := kingpin.New("hemlockdyke-standin", "Stands in for the platform and the targets.")
	host := app.Flag("host", "IP number to listen on.").Default("127.0.0.1").String()
	platformPort := app.Flag("platform-port", "Port of the platform's services.").Default("7000").Int()
	enginePort := app.Flag("engine-port", "First port of the model engines.").Default("7010").Int()
	engines := app.Flag("engines", "Number of model engines.").Default("4").Int()
	servicePort := app.Flag("service-port", "First port of the plain service.").Default("7050").Int()
	services := app.Flag("services", "Number of instances of the plain service.").Default("3").Int()
	step := app.Flag("step", "Time between tokens.").Default("5ms").Duration()
	cache := app.Flag("cache-tokens", "Prompt tokens in an engine's prefix cache.").Default("20000").Int()
	prefill := app.Flag("prefill", "Uncached prompt tokens processed a second.").Default("20000").Int()
	fencing := app.Flag("checks-fencing", "Engines refuse old fencing numbers.").Default("true").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	platform := mux.NewRouter()
	table.New().RegisterRoutes(platform)
	app.FatalIfError(listen(*host, *platformPort, platform), "platform")
	for i := range *engines {
		e := engine.New(engine.Settings{
			Name: fmt.Sprintf("engine-%d", i), TimePerToken: *step, CacheTokens: *cache,
			PrefillTokensPerSecond: *prefill, ChecksFencing: *fencing,
		})
		app.FatalIfError(listen(*host, *enginePort+i, e.Handler()), "engine")
	}
	plain := service.New()
	for i := range *services {
		app.FatalIfError(listen(*host, *servicePort+i, plain.Handler()), "service")
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

func listen(host string, port int, h http.Handler) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return nil
}
