package engine

import (
	"context"
	"flag"
	"strings"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/standin/server"
)

// Run parses the flags in args and serves an engine until ctx is cancelled.
func Run(ctx context.Context, args []string) error {
	o := newOptions()
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	models := fs.String("models", "", "models loaded at start, separated by commas; empty accepts every model")
	fs.StringVar(&o.Name, "name", o.Name, "name of the engine")
	fs.IntVar(&o.Slots, "slots", o.Slots, "maximum number of requests that run at the same time")
	fs.DurationVar(&o.TokenTime, "token-time", o.TokenTime, "time to generate one token")
	fs.DurationVar(&o.PrefillTime, "prefill-time", o.PrefillTime, "time to process one uncached prompt token")
	fs.IntVar(&o.CacheTokens, "cache-tokens", o.CacheTokens, "capacity of the prefix cache in tokens")
	fs.DurationVar(&o.ResumeGrace, "resume-grace", o.ResumeGrace, "how long an answer is generated after its last reader has disconnected")
	fs.DurationVar(&o.Retain, "retain", o.Retain, "how long a finished answer can be resumed")
	fs.DurationVar(&o.Heartbeat, "heartbeat", o.Heartbeat, "interval between comments on a stream")
	fs.DurationVar(&o.LoadLag, "load-lag", o.LoadLag, "age of the values in load reports")
	fs.DurationVar(&o.EventLag, "event-lag", o.EventLag, "delay of cache events")
	fs.IntVar(&o.EventGap, "event-gap", o.EventGap, "omit every n-th cache event; 0 omits none")
	fs.BoolVar(&o.CheckFencing, "check-fencing", o.CheckFencing, "reject orders with a stale fencing token")
	fs.DurationVar(&o.LoadTime, "load-time", o.LoadTime, "time that an order takes to execute")
	if err := fs.Parse(args); err != nil {
		return eris.Wrap(err, "parsing flags")
	}
	if *models != "" {
		o.Models = strings.Split(*models, ",")
	}
	e, stop := New(WithOptions(o))
	defer stop()
	return server.Serve(ctx, o.Name, *listen, e.Connections(), e.Handler())
}
