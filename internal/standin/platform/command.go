package platform

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const readHeaderTimeout = 5 * time.Second

// Run parses the flags in args and serves the platform stand-in until ctx is cancelled.
func Run(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "IP:port to listen on")
	writes := flags.Int("writes", defaultWritesPerSecond, "rate limit of writes per second")
	reads := flags.Int("reads", defaultReadsPerSecond, "rate limit of reads per second")
	lag := flags.Duration("vm-lag", defaultVMLag, "delay until a change appears in the list of VMs")
	if err := flags.Parse(args); err != nil {
		return eris.Wrap(err, "running the platform stand-in")
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", *listen)
	if err != nil {
		return eris.Wrap(err, "running the platform stand-in")
	}
	srv := &http.Server{
		Handler:           New(WithRates(*writes, *reads), WithVMLag(*lag)),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	fmt.Fprintf(os.Stderr, "platform stand-in is listening on %s\n", ln.Addr())
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "running the platform stand-in")
	}
	return nil
}
